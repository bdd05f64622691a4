package tcp

import (
	"errors"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	retryFirst = 5 * time.Millisecond // pause after a failure to accept
	retryMost  = time.Second
)

// Accept passes connections to serve until the listener is closed. serve must
// return soon. A failure to accept, such as too many open files, is passed to
// failed, which may be nil; Accept then pauses and tries again, since the cause
// passes and a server that no longer accepts would stay unreachable.
func Accept(l net.Listener, serve func(net.Conn), failed func(error)) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryFirst, retryMost
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			pause.Reset()
			serve(c)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			if failed != nil {
				failed(err)
			}
			<-time.After(pause.NextBackOff())
		}
	}
}
