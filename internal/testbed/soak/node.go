package soak

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"guavapaddle/internal/front"
	"guavapaddle/internal/testbed/cutpath"
	"guavapaddle/internal/testbed/freeport"
)

const (
	graceS       = 4.0
	leaseMS      = 1200
	probeTimeout = 300 * time.Millisecond
)

// node is a process of the system under test, which is restarted after it has ended.
type node struct {
	settings front.Settings
	binary   string
	soak     string // path of the soak's program, which runs the node if it is not empty
	file     string
	log      *os.File
	proxy    *Proxy // in front of the store

	restartMu sync.Mutex // held during a restart
	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	starts    int
}

// newNode creates a node with its settings, its store proxy and its log file. It does not
// start it.
func newNode(name, binary, dir, store string) (*node, error) {
	p, err := NewProxy(store)
	if err != nil {
		return nil, err
	}
	n := &node{binary: binary, file: filepath.Join(dir, name+".json"), proxy: p, settings: front.Settings{
		Node: name, DataCentre: "z", Store: p.Address(), Cores: 1, MemoryMB: 300, Descriptors: 1000, GraceS: graceS, LeaseMS: leaseMS,
		LoadWindowS: 5, RepeatRatio: 0.2, RepeatExtra: 56, RepeatSpanS: 10, CheckEpochs: true, LogLevel: "info",
		RevokeMS: int(revocationDelay.Milliseconds()), QuotaOver: quotaOverRatio, QuotaSlack: quotaSlack, QuotaSpanS: quotaWindow.Seconds()}}
	for _, a := range []*string{&n.settings.Clients, &n.settings.Ready, &n.settings.Peers, &n.settings.Metrics, &n.settings.Control} {
		*a = freeport.Take()
	}
	n.log, err = os.Create(filepath.Join(dir, name+".log"))
	return n, err
}

// start writes the settings file and starts the process.
func (n *node) start() error {
	b, err := json.Marshal(n.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.file, b, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(n.binary, "front", "-settings", n.file)
	if n.soak != "" {
		if err := n.cut(cutpath.Open); err != nil {
			return err
		}
		cmd = exec.Command(n.soak, NodeCommand, n.file, n.cutFile())
	}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.starts++
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the reason for the exit is in the log
		close(exited)
	}()
	return nil
}

// cutFile returns the path of the file that holds the mode of the node's path to the servers.
func (n *node) cutFile() string { return n.file + ".cut" }

// cut sets the mode of the node's path to the servers.
func (n *node) cut(m cutpath.Mode) error {
	return os.WriteFile(n.cutFile(), []byte(strconv.Itoa(int(m))), 0o600)
}

// signal sends a signal to the process. A process that has already exited is not an error.
func (n *node) signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// wait waits until the process has exited.
func (n *node) wait() {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	<-exited
}

// incarnation returns the number of starts.
func (n *node) incarnation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts
}

// ready queries the node's readiness endpoint, as the load balancer does.
func (n *node) ready() bool {
	resp, err := (&http.Client{Timeout: probeTimeout}).Get("http://" + n.settings.Ready + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}
