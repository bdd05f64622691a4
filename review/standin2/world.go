package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is what a case runs in: a store, workers, and nodes as processes of the project's own program.
type world struct {
	store   *store
	began   time.Time
	dir     string // temporary folder
	program string

	mu     sync.Mutex
	record *os.File
	nodes  []*node
}

// node is a process of the program.
type node struct {
	name, clients, ready, peers, metrics, control string
	settings                                      string
	cmd                                           *exec.Cmd
	log                                           *os.File
}

func newWorld(program, record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &world{store: s, began: time.Now(), dir: dir, program: program, record: f}, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// freePort returns a loopback address with a port that is free for TCP and UDP.
func freePort() (string, error) {
	for range 50 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		a := l.Addr().String()
		u, err := net.ListenPacket("udp4", a)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return a, nil
	}
	return "", errors.New("no free port")
}

// addNode writes the settings of a node, as the template of the deploy file has them.
func (w *world) addNode(name, zone string, seeds []string) (*node, error) {
	n := &node{name: name}
	for _, p := range []*string{&n.clients, &n.ready, &n.peers, &n.metrics, &n.control} {
		a, err := freePort()
		if err != nil {
			return nil, err
		}
		*p = a
	}
	s := map[string]any{
		"node": name, "data-centre": zone, "clients": n.clients, "ready": n.ready, "peers": n.peers, "metrics": n.metrics, "control": n.control,
		"seeds": seeds, "store": w.store.address, "cores": 0.4, "memory-mb": 284, "descriptors": 4100, "link-mbps": 1000.0,
		"grace-s": 8, "lease-ms": 3000, "server-heartbeat-ms": 1200, "server-notice-ms": 2000, "config-apply-ms": 2000, "load-window-s": 5,
		"repeat-ratio": 0.2, "repeat-extra": 56, "repeat-span-s": 10, "deferrable-target-ms": 10000, "engines-check-epochs": true, "log-level": "info",
	}
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(n.settings, b, 0o600); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, nil
}

// start starts the process of a node with the command of the deploy file.
func (w *world) start(n *node) error {
	f, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.log = f
	n.cmd = exec.Command(w.program, "front", "-settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = f, f
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.note("%s is started", n.name)
	return n.cmd.Start()
}

// awaitReady waits until a node counts as ready.
func (w *world) awaitReady(n *node, limit time.Duration) error {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		resp, err := c.Get("http://" + n.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			w.note("%s is ready", n.name)
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", n.name)
}

// stopAll ends all processes that were started.
func (w *world) stopAll() {
	for _, n := range w.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
		if n.log != nil {
			_ = n.log.Close()
		}
	}
}

// close ends the world. The nodes' logs are kept if the folder keep is named.
func (w *world) close(keep string) {
	w.stopAll()
	if keep != "" {
		logs, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
		for _, l := range logs {
			if b, err := os.ReadFile(l); err == nil {
				_ = os.WriteFile(filepath.Join(keep, strings.TrimSuffix(filepath.Base(l), ".json.log")+".log"), b, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}
