package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/io/peer"
)

// aliveInterval is how long the callee of a tunnel may send nothing. Connections between nodes that nothing uses are
// closed after some seconds, while a server may need longer for a response.
const aliveInterval = time.Second

// drainTime is how long the caller of a tunnel has to read the last bytes after the server has closed
// its connection.
const drainTime = 5 * time.Second

// Serve opens a connection that another node requests with the frame f, and passes bytes on until one side ends.
func (d *Dialer) Serve(ctx context.Context, f peer.Frame, s *peer.Stream) {
	var r openRequest
	if err := f.Decode(&r); err != nil {
		d.Log.Warn("tunnel-unreadable", zap.Error(err))
		s.Cancel()
		return
	}
	if !d.reserve() {
		d.refuse(s, Busy, nil)
		return
	}
	defer d.release()
	if d.Serves != nil && !d.Serves() || d.Suspect() {
		d.refuse(s, NoPath, nil)
		return
	}
	nc, err := d.dialForPeer(ctx, r.Address)
	switch {
	case err != nil && d.Suspect():
		d.refuse(s, NoPath, err)
		return
	case err != nil:
		d.refuse(s, Unreachable, err)
		return
	}
	defer func() { _ = nc.Close() }()
	if err := writeOpenReply(s, openReply{}); err != nil {
		s.Cancel()
		return
	}
	d.Metrics.served.WithLabelValues("opened").Inc()
	forward(ctx, nc, s)
}

// dialForPeer opens a connection for another node. If it fails, a server that this node has reached before shows whether that is
// due to this node's path. A node that is cut off as well, and hasn't tried any other server yet, would otherwise reply as
// one that knows the server to have failed.
func (d *Dialer) dialForPeer(ctx context.Context, address string) (net.Conn, error) {
	began := time.Now()
	check := sync.OnceFunc(func() { d.checkOther(ctx, address, began) })
	early := time.AfterFunc(checkDelay, check)
	nc, err := d.dialOwn(ctx, address)
	if early.Stop(); err != nil {
		check()
	}
	return nc, err
}

// checkOther tries to reach a server that this node has reached before, unless it has done so since a time.
func (d *Dialer) checkOther(ctx context.Context, address string, since time.Time) {
	d.mu.Lock()
	other, reached := d.tracker.Other(address, since)
	d.mu.Unlock()
	if other == "" || reached {
		return
	}
	if nc, err := d.dialOwn(ctx, other); err == nil {
		_ = nc.Close()
	}
}

// reserve counts a tunnel that this node serves, and reports whether it may serve another one.
func (d *Dialer) reserve() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.served >= d.MaxServed {
		return false
	}
	d.served++
	return true
}

// release ends a tunnel that this node serves.
func (d *Dialer) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.served--
}

// refuse replies that no connection was opened.
func (d *Dialer) refuse(s *peer.Stream, r Reason, cause error) {
	d.Metrics.served.WithLabelValues(string(r)).Inc()
	reply := openReply{Refused: r}
	if cause != nil {
		reply.Detail = cause.Error()
	}
	if err := writeOpenReply(s, reply); err != nil {
		d.Log.Info("tunnel-refusal-unsent", zap.String("reason", string(r)), zap.Error(err))
		s.Cancel()
		return
	}
	_ = s.Close()
	s.CancelRead()
}

// writeOpenReply sends the reply to an openRequest.
func writeOpenReply(s *peer.Stream, reply openReply) error {
	f, err := peer.Encode(kindReply, reply)
	if err != nil {
		return err
	}
	return s.Write(f)
}

// forward passes bytes on between a server and the caller of a tunnel until both sides have ended.
func forward(ctx context.Context, nc net.Conn, s *peer.Stream) {
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() }) // the caller has gone
	defer stop()
	var caller sync.WaitGroup
	caller.Go(func() {
		forwardToServer(nc, s)
		_ = nc.Close()
	})
	if err := forwardToCaller(s, nc); err != nil {
		s.Cancel() // a reset must not look like an end
	} else {
		_ = s.Close()
		s.SetReadDeadline(time.Now().Add(drainTime))
	}
	caller.Wait()
}

// forwardToServer passes the caller's bytes on until it ends.
func forwardToServer(nc net.Conn, s *peer.Stream) {
	for {
		f, err := s.Read()
		if err != nil {
			return
		}
		if _, err := nc.Write(f.Body); err != nil {
			return
		}
	}
}

// forwardToCaller passes the server's bytes on, and an empty frame when there are none for aliveInterval. It returns nil
// if the server closed its connection.
func forwardToCaller(s *peer.Stream, nc net.Conn) error {
	buf := make([]byte, maxChunk)
	for {
		if err := nc.SetReadDeadline(time.Now().Add(aliveInterval)); err != nil {
			return err
		}
		n, err := nc.Read(buf)
		isAlive := errors.Is(err, os.ErrDeadlineExceeded)
		if n > 0 || isAlive {
			if werr := s.Write(peer.Frame{Kind: kindData, Body: buf[:n]}); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !isAlive {
			return err
		}
	}
}
