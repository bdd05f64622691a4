package experiment

import (
	"context"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/internal/node"
	"guavapaddle/internal/testbed/bound"
	"guavapaddle/internal/testbed/lab"
	"guavapaddle/internal/testbed/report"
	"guavapaddle/internal/testbed/standin/engine"
	"guavapaddle/internal/testbed/standin/platform"
	"guavapaddle/internal/testbed/workload"
)

const (
	startTimeout = 60 * time.Second
	// notice is the nodes' notice before a planned stop, at the end of a run.
	notice = 10 * time.Millisecond
	// loadBase is the part of a load that does not depend on its bytes.
	loadBase = 200 * time.Millisecond
	// cacheBlocks is the prefix cache of an engine, in blocks of 64 bytes of
	// prompt: 64 prefixes of 1 KiB with room for tails.
	cacheBlocks = 2048
)

// run is one run while it goes on.
type run struct {
	set      Settings
	lab      *lab.Lab
	recorder report.Recorder
	arrivals []workload.Arrival
	start    time.Time
	balancer *balancer

	processes []*exec.Cmd // nodes

	mu   sync.Mutex
	late []time.Duration // of the load tool's own sends
}

// Run starts a whole system, sends the load and sums up.
func (s Settings) Run(ctx context.Context) (*report.Summary, error) {
	set, err := s.withDefaults()
	if err != nil {
		return nil, err
	}
	r := &run{set: set, arrivals: workload.Generate(set.load(), set.Seed)}
	met := bound.Run(set.Deployment, r.arrivals)
	r.build()
	defer r.lab.Close()
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.lab.Start(starting); err != nil {
		return nil, &StartError{Part: "system", Err: err}
	}
	if err := r.lab.WaitResident(starting); err != nil {
		return nil, &StartError{Part: "models", Err: err}
	}
	if !pause(ctx, set.Warm) {
		return nil, &StartError{Part: "load", Err: ctx.Err()}
	}
	cpu := cpuSeconds()
	r.send(ctx, met)
	cpu = cpuSeconds() - cpu
	r.lab.Close() // gracefully, which ends the nodes' processor time
	return r.recorder.Summary(r.meta(cpu)), nil
}

// build sets the system up.
func (r *run) build() {
	d := r.set.Deployment
	engines := make([]string, d.Engines)
	for i := range engines {
		engines[i] = "127.0.0.1:1" // replaced by the lab
	}
	doc := d.Document(engines)
	first, bytes := firstPlacement(&doc), sizes(&doc)
	p := &platform.Platform{}
	p.Weights.Rate, p.Weights.FullSpeed = d.LoadsPerSecond, d.FullSpeed
	p.Weights.LoadTime = loadBase
	p.Weights.BytesPerSecond = float64(d.ModelBytes) / (d.ColdStart - loadBase).Seconds()
	r.lab = &lab.Lab{
		Document: &doc, Nodes: r.set.Nodes, Platform: p, Log: zap.NewNop(),
		Engine: func(e *engine.Engine, _ config.BackendServer) { r.engine(e) },
		Started: func(e *engine.Engine, s config.BackendServer) {
			for _, i := range first[s.Name] {
				e.Preload(i, bytes[i])
			}
		},
		Settings: func(n *node.Settings) {
			n.Policy, n.Planner, n.Limit, n.Notice = r.set.Policy, r.set.Planner, r.set.Limit, notice
		},
		Spawn: r.spawn,
	}
}

// engine sets the timing of a stand-in.
func (r *run) engine(e *engine.Engine) {
	d := r.set.Deployment
	e.Step, e.StepSlope, e.Prefill = d.Step, d.StepSlope, d.Prefill
	e.ReportLag, e.CacheLag, e.CacheBlocks = d.ReportLag, d.ReportLag, cacheBlocks
	e.RestartAfter = time.Hour // a lost server stays away
}

// send sends the load and waits for the end of every request.
func (r *run) send(ctx context.Context, met []bool) {
	r.start = time.Now()
	r.balancer = newBalancer(r.lab.Callers, r.set.Seed)
	c := newClient(r.balancer, r.items(), r.start)
	watch, stop := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() { watchMoves(watch, r.lab.Engines, r.start, &r.recorder) })
	watching.Go(func() { r.fault(watch) })
	var sending sync.WaitGroup
	for _, a := range r.arrivals {
		if !pause(ctx, time.Until(r.start.Add(a.At))) {
			break
		}
		r.noteLate(time.Since(r.start) - a.At)
		sending.Go(func() {
			q := c.do(ctx, a)
			q.Bound = met[a.Number]
			r.recorder.Add(q)
		})
	}
	sending.Wait()
	stop()
	watching.Wait()
}

func (r *run) noteLate(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = append(r.late, d)
}

// items returns the declared items by name.
func (r *run) items() map[string]backend.Item {
	out := map[string]backend.Item{}
	for i := range sizes(r.lab.Document) {
		out[i.Name] = i
	}
	return out
}

func (r *run) meta(cpu float64) report.Meta {
	slices.Sort(r.late)
	m := report.Meta{
		Deployment: r.set.Deployment.Name, Policy: r.set.Policy, Planner: r.set.Planner, Fault: r.set.Fault,
		Seed: r.set.Seed, Load: r.set.Load, Duration: r.set.Duration, MovePrice: r.set.MovePrice, Limit: r.set.Limit,
		Nodes: r.set.Nodes, Accelerators: r.set.Deployment.Engines, CPUSeconds: cpu,
	}
	for _, p := range r.processes {
		if p.ProcessState != nil {
			m.NodeCPUSeconds += (p.ProcessState.UserTime() + p.ProcessState.SystemTime()).Seconds()
		}
		if u, ok := p.ProcessState.SysUsage().(*syscall.Rusage); ok {
			m.NodeMemory = max(m.NodeMemory, u.Maxrss*1024)
		}
	}
	if n := len(r.late); n > 0 {
		m.SentLate = r.late[n*99/100]
	}
	return m
}

// pause waits and returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// cpuSeconds returns the processor time that this process has used.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
