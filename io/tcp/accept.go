package tcp

import (
	"errors"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	initialBackoff = 5 * time.Millisecond // delay after the first failed accept
	maxBackoff     = time.Second
)

// Accept passes connections to serve until the listener is closed. serve must return
// quickly. A failed accept, for example due to too many open files, is passed to failed,
// which may be nil. Accept then retries with exponential backoff, since such a failure is
// usually temporary and a server that stopped accepting would stay unreachable.
func Accept(l net.Listener, serve func(net.Conn), failed func(error)) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = initialBackoff, maxBackoff
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			retryDelay.Reset()
			serve(c)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			if failed != nil {
				failed(err)
			}
			<-time.After(retryDelay.NextBackOff())
		}
	}
}
