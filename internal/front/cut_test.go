package front_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/front"
	"guavapaddle/io/http1"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

// A cut between a node and all backend servers.
const (
	connected   cutMode = iota
	refusing            // new connections are refused, open ones live on
	hanging             // new connections don't open, open ones deliver nothing
	resetting           // new connections are refused, open ones are reset
	cutTime     = 5 * time.Second
	settleTime  = 1500 * time.Millisecond // in which nodes notice a cut, half of the users' 3 s
	dialLimit   = 300 * time.Millisecond
	firstTries  = 60 // at each cut node
	maxFailed   = 50 // of so many of them one may fail
	loggedLines = 12
)

type (
	// cutMode is what a cut does to connections.
	cutMode int

	// serverPath is the path between one node and all backend servers.
	serverPath struct {
		mu    sync.Mutex
		mode  cutMode
		conns map[*cutConn]bool
	}

	// cutConn is a connection over a serverPath.
	cutConn struct {
		net.Conn

		path   *serverPath
		closed chan struct{}
		once   sync.Once
	}
)

// set changes the mode.
func (p *serverPath) set(m cutMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for c := range p.conns {
		switch m {
		case resetting:
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Conn.Close()
		case hanging:
			_ = c.Conn.(*net.TCPConn).CloseWrite()
		}
	}
}

func (p *serverPath) current() cutMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// dial opens a connection over the path.
func (p *serverPath) dial(ctx context.Context, address string) (net.Conn, error) {
	switch p.current() {
	case refusing, resetting:
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case hanging:
		ctx, cancel := context.WithTimeout(ctx, dialLimit)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	}
	nc, err := http1.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &cutConn{Conn: nc, path: p, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[*cutConn]bool{}
	}
	p.conns[c] = true
	return c, nil
}

// SyscallConn lets the pool see whether the connection is idle.
func (c *cutConn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(*net.TCPConn).SyscallConn() }

// Write implements net.Conn.
func (c *cutConn) Write(b []byte) (int, error) {
	if c.path.current() == hanging {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.path.current() == hanging {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(cutTime):
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	return c.Conn.Close()
}

// TestCutNodesServeFirstTries guards against nodes that have lost their own path to all backend servers and
// refuse what other nodes could pass on for them.
func TestCutNodesServeFirstTries(t *testing.T) {
	t.Parallel()
	for name, mode := range map[string]cutMode{"refused": refusing, "hanging": hanging, "reset": resetting} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			paths := map[string]*serverPath{}
			f := &testCluster{t: t, store: standin.NewStore(t), lease: 3 * time.Second,
				setUp: func(n *front.Node, s front.Settings) {
					paths[s.Node] = &serverPath{}
					n.DialServer = paths[s.Node].dial
				}}
			f.run(5, configuration)
			second := (&standin.Worker{ID: "i-plain2"}).Start(t)
			f.store.Put(platform.TableServers, "i-plain2", second.Entry("plain", "z", false))
			f.waitForLeader()
			f.sendLoad("/calls/x", "", 20*time.Millisecond, 300*time.Millisecond)
			cut := f.nodes[:3]
			for _, p := range cut {
				paths[p.settings.Node].set(mode)
			}
			f.nodes = cut
			f.sendLoad("/calls/early", "", 20*time.Millisecond, settleTime)
			for _, x := range []struct{ path, model string }{{"/calls/x", ""}, {"/plans/x", "m0"}} {
				failed := 0
				for i := range firstTries {
					for _, p := range cut {
						status, body := p.get(t, x.path, fmt.Sprint("t", x.model, i, p.settings.Node), x.model)
						if status != 200 {
							failed++
							p.printLog(t)
							require.LessOrEqual(t, failed, firstTries*len(cut)/maxFailed, "%s at %s after %d rounds: %d %s", x.path, p.settings.Node, i, status, body)
						}
					}
				}
			}
		})
	}
}

// printLog logs the node's last decisions about its path to the servers and about requests that failed.
func (p *testNode) printLog(t *testing.T) {
	t.Helper()
	var lines []string
	for _, e := range p.logs.All() {
		switch e.Message {
		case "tunnel-refused", "nodes-read", "node-row-failed", "node-rows-failed", "servers-lost", "servers-reached", "server-checked", "leader-silent", "leader-suspect":
			lines = append(lines, fmt.Sprint(e.Time.Format("05.000 "), e.Message, " ", e.ContextMap()))
		}
	}
	t.Log(p.settings.Node + "\n" + strings.Join(lines[max(0, len(lines)-loggedLines):], "\n"))
}
