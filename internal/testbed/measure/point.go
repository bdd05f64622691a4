package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"gonum.org/v1/gonum/stat"

	"guavapaddle/internal/configsync"
	"guavapaddle/internal/keys"
	"guavapaddle/internal/node"
	"guavapaddle/io/object"
	"guavapaddle/io/table"
	"guavapaddle/io/vmlist"
)

const (
	anyPort            = "127.0.0.1:0"
	pollPeriod         = 100 * time.Millisecond
	controlBytesName   = "guavapaddle_control_bytes_total"
	controlSecondsName = "guavapaddle_control_seconds_total"
	datagramBytesName  = "guavapaddle_peer_datagram_bytes_total"
	processorSeconds   = "processor seconds"
)

type (
	// Settings configures the measurement of a point.
	Settings struct {
		StandIns     []string      // command that runs the function StandIns
		ReadyTimeout time.Duration // maximum time until all nodes are ready
		Settle       time.Duration // delay between readiness and the first window
		Window       time.Duration
		Windows      int
	}

	// Point is the measurement at one size. Its values are per node.
	Point struct {
		Size Size `json:"size"`
		// Values holds the means over all nodes by name, and under names with the
		// prefix "max " the maximum of a node.
		Values map[string]float64 `json:"values"`
		Load   float64            `json:"load-average"` // of the machine, at the end of the measurement
	}

	// NotReadyError reports a condition that was not met in time.
	NotReadyError struct{ Condition string }

	// measurement is the state of a measurement in progress.
	measurement struct {
		size            Size
		set             Settings
		dir             string
		standIns        standInAddresses
		stdin           io.WriteCloser
		nodes           []*node.Node
		callerAddresses []string
	}

	// snapshot holds the counters of each node and the processor time of the
	// process at one time.
	snapshot struct {
		at    time.Time
		cpu   time.Duration
		nodes []map[string]float64
	}
)

// Error names the condition that is not met.
func (e *NotReadyError) Error() string { return "not ready in time: " + e.Condition }

// Run measures a point. The process should do nothing else and should exit afterwards.
func Run(ctx context.Context, s Size, set Settings) (Point, error) {
	if err := s.Check(); err != nil {
		return Point{}, err
	}
	dir, err := os.MkdirTemp("", "guavapaddle-measure-")
	if err != nil {
		return Point{}, eris.Wrap(err, "measure")
	}
	m := &measurement{size: s, set: set, dir: dir}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := m.start(ctx); err != nil {
		return Point{}, err
	}
	defer func() { _ = m.stdin.Close() }()
	if err := m.waitReady(ctx); err != nil {
		return Point{}, err
	}
	if err := json.NewEncoder(m.stdin).Encode(nodeAddresses{Callers: m.callerAddresses}); err != nil {
		return Point{}, eris.Wrap(err, "send node addresses")
	}
	return m.measure(ctx)
}

// start starts the stand-ins and the nodes.
func (m *measurement) start(ctx context.Context) error {
	cmd := exec.CommandContext(ctx, m.set.StandIns[0], append(m.set.StandIns[1:], m.size.Flags()...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return eris.Wrap(err, "stand-ins")
	}
	if m.stdin, err = cmd.StdinPipe(); err != nil {
		return eris.Wrap(err, "stand-ins")
	}
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "stand-ins")
	}
	if err := json.NewDecoder(bufio.NewReader(out)).Decode(&m.standIns); err != nil {
		return eris.Wrap(err, "addresses of stand-ins")
	}
	a := &configsync.Applier{Table: &table.Client{Address: m.standIns.Platform}, Store: &object.Client{Address: m.standIns.Platform}, Operator: "measure"}
	if _, err := a.Apply(ctx, m.size.Document(m.standIns.Engines)); err != nil {
		return err
	}
	var names []string
	for i := range m.size.Nodes {
		names = append(names, fmt.Sprintf("node-%03d", i))
	}
	if err := keys.Generate(m.dir, names); err != nil {
		return err
	}
	for i, name := range names {
		if err := m.startNode(ctx, i, name); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts one node and adds its VM to the VM list.
func (m *measurement) startNode(ctx context.Context, i int, name string) error {
	s := node.Settings{
		Name: name, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres+1),
		Callers: anyPort, Peers: anyPort, Operators: anyPort,
		Table: m.standIns.Platform, Objects: m.standIns.Platform, VMList: m.standIns.Platform,
		CA: filepath.Join(m.dir, "ca.pem"), Cert: filepath.Join(m.dir, name+".pem"), Key: filepath.Join(m.dir, name+".key"),
		Policy: "home", Planner: "gain", Limit: "cost", LogLevel: "info", Seed: uint64(i + 1),
	}
	n, err := node.New(s, zap.NewNop())
	if err != nil {
		return err
	}
	a, err := n.Listen()
	if err != nil {
		return err
	}
	go func() { _ = n.Run(context.WithoutCancel(ctx)) }()
	m.nodes, m.callerAddresses = append(m.nodes, n), append(m.callerAddresses, a.Callers)
	list := &vmlist.Client{Address: m.standIns.Platform}
	return list.Set(ctx, vmlist.VM{Name: name, Address: a.Peers, Role: vmlist.Node, DataCentre: s.DataCentre, State: vmlist.Live})
}

// waitReady waits until every node knows all nodes and all servers have an owner.
func (m *measurement) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.set.ReadyTimeout)
	defer cancel()
	t := time.NewTicker(pollPeriod)
	defer t.Stop()
	for {
		condition := m.unmetCondition()
		if condition == "" {
			break
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return &NotReadyError{Condition: condition}
		}
	}
	time.Sleep(m.set.Settle)
	return nil
}

// unmetCondition returns a condition for readiness that is not met yet, empty if there
// is none.
func (m *measurement) unmetCondition() string {
	owned := 0
	for _, n := range m.nodes {
		r := n.Status()
		if len(r.Nodes) != m.size.Nodes || !r.Ready {
			return fmt.Sprintf("%s knows %d nodes of %d, ready: %v", r.Node, len(r.Nodes), m.size.Nodes, r.Ready)
		}
		if len(r.Servers) != m.size.Servers {
			return fmt.Sprintf("%s knows %d servers of %d", r.Node, len(r.Servers), m.size.Servers)
		}
		owned += len(r.Leases)
	}
	if owned != m.size.Servers {
		return fmt.Sprintf("%d of %d servers are owned", owned, m.size.Servers)
	}
	return ""
}

// measure reads the counters at the ends of the windows and returns the point.
func (m *measurement) measure(ctx context.Context) (Point, error) {
	rates := map[string][]float64{}
	before, err := m.read()
	if err != nil {
		return Point{}, err
	}
	for range m.set.Windows {
		select {
		case <-time.After(m.set.Window):
		case <-ctx.Done():
			return Point{}, context.Cause(ctx)
		}
		after, err := m.read()
		if err != nil {
			return Point{}, err
		}
		for name, v := range after.ratesSince(before) {
			rates[name] = append(rates[name], v)
		}
		before = after
	}
	p := Point{Size: m.size, Values: map[string]float64{}, Load: loadAverage()}
	for name, all := range rates {
		p.Values[name] = stat.Mean(all, nil)
	}
	p.Values[processorSeconds] = median(rates[processorSeconds]) // the median is robust against other processes
	m.addMemory(p.Values)
	return p, nil
}

// addMemory adds the goroutines, the heap and the stacks per node. It collects garbage
// before it reads the size of the heap.
func (m *measurement) addMemory(values map[string]float64) {
	values["goroutines"] = float64(runtime.NumGoroutine()) / float64(len(m.nodes))
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	values["heap bytes"] = float64(stats.HeapAlloc) / float64(len(m.nodes))
	values["stack bytes"] = float64(stats.StackInuse) / float64(len(m.nodes))
}

// read returns the current counters of all nodes.
func (m *measurement) read() (snapshot, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return snapshot{}, eris.Wrap(err, "processor time")
	}
	s := snapshot{at: time.Now(), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano())}
	for _, n := range m.nodes {
		values, err := counters(n.Gatherer())
		if err != nil {
			return s, err
		}
		s.nodes = append(s.nodes, values)
	}
	return s, nil
}

// counters returns the counters of a node by their short names.
func counters(g prometheus.Gatherer) (map[string]float64, error) {
	families, err := g.Gather()
	if err != nil {
		return nil, eris.Wrap(err, "gather")
	}
	out := map[string]float64{}
	for _, f := range families {
		if !slices.Contains([]string{controlBytesName, controlSecondsName, datagramBytesName}, f.GetName()) {
			continue
		}
		for _, m := range f.GetMetric() {
			labels := map[string]string{}
			for _, l := range m.GetLabel() {
				labels[l.GetName()] = l.GetValue()
			}
			out[shortName(f.GetName(), labels)] += m.GetCounter().GetValue()
		}
	}
	for name, v := range maps.Clone(out) {
		if _, direction, ok := strings.Cut(name, " bytes "); ok {
			out["all bytes "+direction] += v
		}
	}
	return out, nil
}

// shortName returns the name of a counter in tables.
func shortName(name string, labels map[string]string) string {
	switch name {
	case controlBytesName:
		return labels["kind"] + " bytes " + labels["direction"]
	case controlSecondsName:
		return labels["kind"] + " seconds"
	}
	return "datagram bytes"
}

// ratesSince returns the mean and maximum rates per second between before and s.
func (s snapshot) ratesSince(before snapshot) map[string]float64 {
	seconds := s.at.Sub(before.at).Seconds()
	out := map[string]float64{processorSeconds: (s.cpu - before.cpu).Seconds() / seconds / float64(len(s.nodes))}
	for i, values := range s.nodes {
		for name, v := range values {
			rate := (v - before.nodes[i][name]) / seconds
			out[name] += rate / float64(len(s.nodes))
			out["max "+name] = max(out["max "+name], rate)
		}
	}
	return out
}

// loadAverage returns the one-minute load average of the machine, zero if it can't be
// read.
func loadAverage() float64 {
	var load float64
	text, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		_, _ = fmt.Sscan(string(text), &load)
	}
	return load
}
