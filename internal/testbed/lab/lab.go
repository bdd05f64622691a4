// Package lab starts a complete system in one process, over real sockets on the loopback
// interface: stand-ins for the platform, model engines and plain services, and nodes. The
// demonstration, the load generator and tests use it.
//
// # Usage
//
//	l := &lab.Lab{Document: document, Nodes: 2}
//	if err := l.Start(ctx); err != nil { ... }
//	defer l.Close()
//	reply, err := http.Post("http://"+l.Callers[0]+"/v1/chat/completions", ...)
//
// Server addresses in the document are replaced by those on which the stand-ins listen.
package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"guavapaddle/core/config"
	"guavapaddle/core/status"
	"guavapaddle/internal/configsync"
	"guavapaddle/internal/keys"
	"guavapaddle/internal/node"
	"guavapaddle/internal/testbed/standin/engine"
	"guavapaddle/internal/testbed/standin/platform"
	"guavapaddle/internal/testbed/standin/service"
	"guavapaddle/io/object"
	"guavapaddle/io/operator"
	"guavapaddle/io/table"
	"guavapaddle/io/vmlist"
)

const (
	pollPeriod   = 20 * time.Millisecond
	anyPort      = "127.0.0.1:0"
	operatorName = "lab"
)

type (
	// Lab is a complete system. The fields up to Log are set before Start, which sets the
	// others.
	Lab struct {
		Document *config.Document // Start replaces the addresses of its servers
		Nodes    int              // default 2
		Platform *platform.Platform
		// Engine adjusts the stand-in of an engine before it starts. It may be nil.
		Engine func(e *engine.Engine, s config.BackendServer)
		// OnEngineStarted is called for each engine that has started, before any node starts. It may
		// be nil.
		OnEngineStarted func(e *engine.Engine, s config.BackendServer)
		// Settings adjusts the settings of a node before it starts. It may be nil.
		Settings func(s *node.Settings)
		// Spawn starts a node in another way than in this process. It may be nil.
		Spawn func(s node.Settings) (*Process, node.Addresses, error)
		Log   *zap.Logger // discards everything by default

		Engines         map[string]*engine.Engine
		Services        map[string]*service.Service
		Callers         []string // callers' address of each node
		Operators       []string // operators' address of each node
		PlatformAddress string   // address of the platform

		dir       string
		processes []*Process
		closeOnce sync.Once
	}

	// Process is one node of a lab.
	Process struct {
		Name string
		Stop func()       // begins a graceful shutdown
		Kill func()       // ends it immediately; nil for a node in this process
		Done <-chan error // receives one value when it has ended
		once sync.Once
	}

	// NotReadyError is the error returned when the system did not become ready in time.
	NotReadyError struct{ Missing string }
)

// Error returns a message that names what is not ready.
func (e *NotReadyError) Error() string { return "not ready in time: " + e.Missing }

// Start starts all components and applies the document. Models are loaded afterwards; see
// WaitResident.
func (l *Lab) Start(ctx context.Context) error {
	if l.Nodes == 0 {
		l.Nodes = 2
	}
	if l.Platform == nil {
		l.Platform = &platform.Platform{}
	}
	if l.Log == nil {
		l.Log = zap.NewNop()
	}
	var err error
	if l.PlatformAddress, err = l.Platform.Start(); err != nil {
		return err
	}
	if err := l.startServers(); err != nil {
		return err
	}
	if err := l.Apply(ctx, l.Document); err != nil {
		return err
	}
	if err := l.startNodes(); err != nil {
		return err
	}
	return l.waitReady(ctx)
}

// startServers starts the stand-ins of all backend servers.
func (l *Lab) startServers() error {
	l.Engines = map[string]*engine.Engine{}
	l.Services = map[string]*service.Service{}
	for i := range l.Document.Servers {
		s := &l.Document.Servers[i]
		var err error
		switch s.Type {
		case config.Engine:
			e := &engine.Engine{
				Name:          s.Name,
				MemoryBytes:   s.MemoryBytes,
				Slots:         s.Slots,
				ChecksOrders:  s.ChecksOrders,
				Step:          time.Duration(s.StepMS * float64(time.Millisecond)),
				WeightAddress: l.PlatformAddress,
			}
			if l.Engine != nil {
				l.Engine(e, *s)
			}
			l.Engines[s.Name] = e
			if s.Address, err = e.Start(); err == nil && l.OnEngineStarted != nil {
				l.OnEngineStarted(e, *s)
			}
		case config.Service:
			v := &service.Service{Name: s.Name}
			l.Services[s.Name] = v
			s.Address, err = v.Start()
		}
		if err != nil {
			return eris.Wrapf(err, "start %s", s.Name)
		}
	}
	return nil
}

// Apply applies a document as an operator.
func (l *Lab) Apply(ctx context.Context, doc *config.Document) error {
	a := &configsync.Applier{
		Table:    &table.Client{Address: l.PlatformAddress},
		Store:    &object.Client{Address: l.PlatformAddress},
		Operator: operatorName,
	}
	_, err := a.Apply(ctx, doc)
	return err
}

// startNodes starts the nodes, distributed over the data centres of the document.
func (l *Lab) startNodes() error {
	dir, err := os.MkdirTemp("", "guavapaddle-lab-")
	if err != nil {
		return eris.Wrap(err, "lab")
	}
	l.dir = dir
	names := make([]string, l.Nodes)
	for i := range names {
		names[i] = fmt.Sprintf("n%d", i+1)
	}
	if err := keys.Generate(dir, names); err != nil {
		return err
	}
	dataCentreNames := dataCentres(l.Document)
	for i, name := range names {
		if err := l.startNode(name, dataCentreNames[i%len(dataCentreNames)]); err != nil {
			return eris.Wrapf(err, "start %s", name)
		}
	}
	return nil
}

// startNode starts one node and adds it to the VM list.
func (l *Lab) startNode(name, dataCentre string) error {
	s := node.Settings{
		Name: name, DataCentre: dataCentre,
		Callers: anyPort, Peers: anyPort, Operators: anyPort,
		Table: l.PlatformAddress, Objects: l.PlatformAddress, VMList: l.PlatformAddress,
		CA:   filepath.Join(l.dir, "ca.pem"),
		Cert: filepath.Join(l.dir, name+".pem"),
		Key:  filepath.Join(l.dir, name+".key"),
		// The defaults of these settings are not their zero values.
		Policy: "home", Planner: "gain", Limit: "cost", LogLevel: "info",
		Seed: uint64(len(l.processes) + 1),
	}
	if l.Settings != nil {
		l.Settings(&s)
	}
	if err := s.Check(); err != nil {
		return err
	}
	spawn := l.Spawn
	if spawn == nil {
		spawn = l.runNode
	}
	p, a, err := spawn(s)
	if err != nil {
		return err
	}
	l.processes = append(l.processes, p)
	l.Callers = append(l.Callers, a.Callers)
	l.Operators = append(l.Operators, a.Operators)
	list := &vmlist.Client{Address: l.PlatformAddress}
	listCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return list.Set(listCtx, vmlist.VM{Name: name, Address: a.Peers, Role: "node", DataCentre: dataCentre, State: vmlist.Live})
}

// runNode runs a node in this process.
func (l *Lab) runNode(s node.Settings) (*Process, node.Addresses, error) {
	n, err := node.New(s, l.Log)
	if err != nil {
		return nil, node.Addresses{}, err
	}
	a, err := n.Listen()
	if err != nil {
		return nil, a, err
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	return &Process{Name: s.Name, Stop: stop, Done: done}, a, nil
}

// dataCentres returns the distinct data centres of a document's servers, in order of
// appearance.
func dataCentres(d *config.Document) []string {
	var out []string
	seen := map[string]bool{}
	for _, s := range d.Servers {
		if !seen[s.DataCentre] {
			seen[s.DataCentre] = true
			out = append(out, s.DataCentre)
		}
	}
	return out
}

// Status returns a node's status report.
func (l *Lab) Status(ctx context.Context, node int) (status.Report, error) {
	c := &operator.Client{Address: l.Operators[node]}
	return c.Status(ctx)
}

// waitReady waits until all nodes are ready and know each other.
func (l *Lab) waitReady(ctx context.Context) error {
	return l.wait(ctx, "nodes", func() bool {
		for i := range l.Operators {
			r, err := l.Status(ctx, i)
			if err != nil || !r.Ready || len(r.Nodes) != l.Nodes {
				return false
			}
		}
		return true
	})
}

// WaitResident waits until, in every node's view, every declared item is resident on a
// reachable server.
func (l *Lab) WaitResident(ctx context.Context) error {
	x := config.NewIndex(l.Document, 0)
	return l.wait(ctx, "models", func() bool {
		for i := range l.Operators {
			r, err := l.Status(ctx, i)
			if err != nil {
				return false
			}
			for _, item := range x.Items() {
				resident := false
				for _, s := range r.Servers {
					resident = resident || s.Reachable && s.Holds(item)
				}
				if !resident {
					return false
				}
			}
		}
		return true
	})
}

// wait polls a condition until it holds or ctx ends.
func (l *Lab) wait(ctx context.Context, what string, condition func() bool) error {
	t := time.NewTicker(pollPeriod)
	defer t.Stop()
	for !condition() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return &NotReadyError{Missing: what}
		}
	}
	return nil
}

// StopNode shuts a node down gracefully and waits until it has ended.
func (l *Lab) StopNode(i int) error {
	p := l.processes[i]
	var err error
	p.once.Do(func() {
		p.Stop()
		err = <-p.Done
	})
	return err
}

// KillNode ends a node immediately, as if its VM were lost. It panics for a node in this
// process.
func (l *Lab) KillNode(i int) {
	p := l.processes[i]
	p.once.Do(func() {
		p.Kill()
		if err := <-p.Done; err != nil {
			l.Log.Warn("node failed", zap.Error(err))
		}
	})
}

// Close stops all components. Further calls do nothing.
func (l *Lab) Close() { l.closeOnce.Do(l.close) }

func (l *Lab) close() {
	var wg sync.WaitGroup
	for i := range l.processes {
		wg.Go(func() { _ = l.StopNode(i) })
	}
	wg.Wait()
	for _, e := range l.Engines {
		e.Close()
	}
	for _, s := range l.Services {
		s.Close()
	}
	l.Platform.Close()
	if l.dir != "" {
		_ = os.RemoveAll(l.dir)
	}
}
