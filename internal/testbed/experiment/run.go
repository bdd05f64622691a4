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
	// drainTime is the drain time of the nodes when they are stopped at the end of a
	// run.
	drainTime = 10 * time.Millisecond
	// loadBase is the part of the duration of a load that doesn't depend on its size.
	loadBase = 200 * time.Millisecond
	// cacheBlocks is the capacity of the prefix cache of an engine, in blocks of 64
	// bytes of prompt: 64 prefixes of 1 KiB and as much again for the unique parts.
	cacheBlocks = 2048
)

// run is the state of a run in progress.
type run struct {
	set      Settings
	lab      *lab.Lab
	recorder report.Recorder
	arrivals []workload.Arrival
	start    time.Time
	balancer *balancer

	processes []*exec.Cmd // processes of the nodes

	mu         sync.Mutex
	sendDelays []time.Duration // delays of the load generator's own sends
}

// Run starts a complete system, sends the load and returns a summary of the results.
func (s Settings) Run(ctx context.Context) (*report.Summary, error) {
	set, err := s.withDefaults()
	if err != nil {
		return nil, err
	}
	r := &run{set: set, arrivals: workload.Generate(set.loadSettings(), set.Seed)}
	boundMet := bound.Run(set.Deployment, r.arrivals)
	r.buildLab()
	defer r.lab.Close()
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.lab.Start(starting); err != nil {
		return nil, &StartError{Part: "system", Err: err}
	}
	if err := r.lab.WaitResident(starting); err != nil {
		return nil, &StartError{Part: "models", Err: err}
	}
	if !sleep(ctx, set.WarmUp) {
		return nil, &StartError{Part: "load", Err: ctx.Err()}
	}
	cpu := cpuSeconds()
	r.sendLoad(ctx, boundMet)
	cpu = cpuSeconds() - cpu
	r.lab.Close() // graceful stop; the processor time of the nodes is known afterwards
	return r.recorder.Summary(r.meta(cpu)), nil
}

// buildLab configures the system.
func (r *run) buildLab() {
	d := r.set.Deployment
	engines := make([]string, d.Engines)
	for i := range engines {
		engines[i] = "127.0.0.1:1" // replaced by the lab
	}
	doc := d.Document(engines)
	initial, bytes := initialPlacement(&doc), itemBytes(&doc)
	p := &platform.Platform{}
	p.Weights.Rate, p.Weights.FullSpeed = d.LoadsPerSecond, d.FullSpeed
	p.Weights.LoadTime = loadBase
	p.Weights.BytesPerSecond = float64(d.ModelBytes) / (d.ColdStart - loadBase).Seconds()
	r.lab = &lab.Lab{
		Document: &doc, Nodes: r.set.Nodes, Platform: p, Log: zap.NewNop(),
		Engine: func(e *engine.Engine, _ config.BackendServer) { r.engine(e) },
		OnEngineStarted: func(e *engine.Engine, s config.BackendServer) {
			for _, i := range initial[s.Name] {
				e.Preload(i, bytes[i])
			}
		},
		Settings: func(n *node.Settings) {
			n.Policy, n.Planner, n.Limit, n.DrainNotice = r.set.Policy, r.set.Planner, r.set.Limit, drainTime
		},
		Spawn: r.spawn,
	}
}

// engine sets the timing of an engine stand-in.
func (r *run) engine(e *engine.Engine) {
	d := r.set.Deployment
	e.Step, e.StepSlope, e.Prefill = d.Step, d.StepSlope, d.Prefill
	e.ReportLag, e.CacheLag, e.CacheBlocks = d.ReportLag, d.ReportLag, cacheBlocks
	e.RestartAfter = time.Hour // a lost server does not return during the run
}

// sendLoad sends the load and waits until every request has ended.
func (r *run) sendLoad(ctx context.Context, boundMet []bool) {
	r.start = time.Now()
	r.balancer = newBalancer(r.lab.Callers, r.set.Seed)
	c := newClient(r.balancer, r.itemsByName(), r.start)
	watchCtx, stop := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() { watchMoves(watchCtx, r.lab.Engines, r.start, &r.recorder) })
	watching.Go(func() { r.fault(watchCtx) })
	var sending sync.WaitGroup
	for _, a := range r.arrivals {
		if !sleep(ctx, time.Until(r.start.Add(a.At))) {
			break
		}
		r.recordSendDelay(time.Since(r.start) - a.At)
		sending.Go(func() {
			q := c.request(ctx, a)
			q.BoundMet = boundMet[a.Index]
			r.recorder.Add(q)
		})
	}
	sending.Wait()
	stop()
	watching.Wait()
}

func (r *run) recordSendDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sendDelays = append(r.sendDelays, d)
}

// itemsByName returns the declared items by name.
func (r *run) itemsByName() map[string]backend.Item {
	out := map[string]backend.Item{}
	for i := range itemBytes(r.lab.Document) {
		out[i.Name] = i
	}
	return out
}

func (r *run) meta(cpu float64) report.Meta {
	slices.Sort(r.sendDelays)
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
	if n := len(r.sendDelays); n > 0 {
		m.SendDelay = r.sendDelays[n*99/100]
	}
	return m
}

// sleep waits for d and returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
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

// cpuSeconds returns the processor time used by this process.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
