// Command harness runs one case of the review: it starts nodes as the deploy file does, stands in for the store, the workers and
// the clients on loopback addresses, and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// couldn't run.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

var (
	record   *os.File
	recordMu sync.Mutex
	began    = time.Now()
	// trouble is false if the case is to run without its disruption.
	trouble = os.Getenv("TROUBLE") != "0"
	nodes   []*node
)

// note writes a line into record.txt.
func note(format string, a ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(record, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, a...))
}

// fatal ends the case as one that couldn't run.
func fatal(err error) {
	note("can't run: %v", err)
	stopNodes()
	os.Exit(failed)
}

// freeAddress returns a loopback address that is free.
func freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// node is a process of the system.
type node struct {
	name, clients, ready string
	cmd                  *exec.Cmd
}

// startNode starts a node with the command of the deploy file and the settings of a small deployment.
func startNode(dir, name, zone, store string) *node {
	n := &node{name: name, clients: freeAddress(), ready: freeAddress()}
	file := filepath.Join(dir, name+".json")
	settings := encode(map[string]any{
		"node": name, "data-centre": zone, "clients": n.clients, "ready": n.ready, "peers": freeAddress(), "metrics": freeAddress(),
		"control": freeAddress(), "seeds": []string{}, "store": store, "cores": 0.4, "memory-mb": 284, "descriptors": 4100, "link-mbps": 1000,
		"grace-s": 8, "lease-ms": 3000, "server-heartbeat-ms": 1200, "server-notice-ms": 2000, "config-apply-ms": 2000, "load-window-s": 5,
		"repeat-ratio": 0.2, "repeat-extra": 56, "repeat-span-s": 10, "deferrable-target-ms": 10000, "engines-check-epochs": true, "log-level": "info",
	})
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		fatal(err)
	}
	n.cmd = exec.CommandContext(context.Background(), "target/guavapaddle", "front", "-settings", file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		fatal(err)
	}
	nodes = append(nodes, n)
	note("node %s starts", name)
	return n
}

// stopNodes ends all nodes.
func stopNodes() {
	for _, n := range nodes {
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		_ = n.cmd.Wait()
	}
}

func main() {
	cases := map[string]func(dir string) bool{"late-order": lateOrder}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(failed)
	}
	var err error
	if record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal(err)
	}
	ok := cases[os.Args[1]](dir)
	stopNodes()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	if !ok {
		note("the rule is broken")
		os.Exit(broken)
	}
	note("the rule held")
	os.Exit(held)
}
