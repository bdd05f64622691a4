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
	anyPort     = "127.0.0.1:0"
	pollPeriod  = 100 * time.Millisecond
	controlName = "guavapaddle_control_bytes_total"
	spentName   = "guavapaddle_control_seconds_total"
	datagrams   = "guavapaddle_peer_datagram_bytes_total"
	processor   = "processor seconds"
)

type (
	// Settings are how a point is measured.
	Settings struct {
		StandIns []string      // command that runs StandIns
		Ready    time.Duration // the longest start
		Settle   time.Duration // from ready to the first window
		Window   time.Duration
		Windows  int
	}

	// Point is what was measured at one size, each figure of one node.
	Point struct {
		Size Size `json:"size"`
		// Values holds the mean over all nodes, by name; a name with "max "
		// the node with the most.
		Values map[string]float64 `json:"values"`
		Load   float64            `json:"load-average"` // of the machine, at the end
	}

	// NotReady tells what had not come about in time.
	NotReady struct{ What string }

	// bench is a point under way.
	bench struct {
		size  Size
		set   Settings
		dir   string
		at    standIns
		in    io.WriteCloser
		nodes []*node.Node
		calls []string
	}

	// reading is the state of all counters at one moment: sums over all nodes,
	// and the most of one.
	reading struct {
		at    time.Time
		cpu   time.Duration
		nodes []map[string]float64
	}
)

// Error tells what is missing.
func (e *NotReady) Error() string { return "not ready in time: " + e.What }

// Run measures a point. The process should do nothing else and end after it.
func Run(ctx context.Context, s Size, set Settings) (Point, error) {
	if err := s.Check(); err != nil {
		return Point{}, err
	}
	dir, err := os.MkdirTemp("", "guavapaddle-measure-")
	if err != nil {
		return Point{}, eris.Wrap(err, "measure")
	}
	b := &bench{size: s, set: set, dir: dir}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := b.start(ctx); err != nil {
		return Point{}, err
	}
	defer func() { _ = b.in.Close() }()
	if err := b.ready(ctx); err != nil {
		return Point{}, err
	}
	if err := json.NewEncoder(b.in).Encode(callersAt{Callers: b.calls}); err != nil {
		return Point{}, eris.Wrap(err, "tell callers")
	}
	return b.measure(ctx)
}

// start starts the stand-ins and the nodes.
func (b *bench) start(ctx context.Context) error {
	cmd := exec.CommandContext(ctx, b.set.StandIns[0], append(b.set.StandIns[1:], b.size.Flags()...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return eris.Wrap(err, "stand-ins")
	}
	if b.in, err = cmd.StdinPipe(); err != nil {
		return eris.Wrap(err, "stand-ins")
	}
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "stand-ins")
	}
	if err := json.NewDecoder(bufio.NewReader(out)).Decode(&b.at); err != nil {
		return eris.Wrap(err, "addresses of stand-ins")
	}
	a := &configsync.Applier{Table: &table.Client{Address: b.at.Platform}, Store: &object.Client{Address: b.at.Platform}, Operator: "measure"}
	if _, err := a.Apply(ctx, b.size.Document(b.at.Engines)); err != nil {
		return err
	}
	var names []string
	for i := range b.size.Nodes {
		names = append(names, fmt.Sprintf("node-%03d", i))
	}
	if err := keys.Generate(b.dir, names); err != nil {
		return err
	}
	for i, name := range names {
		if err := b.startNode(ctx, i, name); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts one node and lists its VM.
func (b *bench) startNode(ctx context.Context, i int, name string) error {
	s := node.Settings{
		Name: name, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres+1),
		Callers: anyPort, Peers: anyPort, Operators: anyPort,
		Table: b.at.Platform, Objects: b.at.Platform, VMList: b.at.Platform,
		CA: filepath.Join(b.dir, "ca.pem"), Cert: filepath.Join(b.dir, name+".pem"), Key: filepath.Join(b.dir, name+".key"),
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
	b.nodes, b.calls = append(b.nodes, n), append(b.calls, a.Callers)
	list := &vmlist.Client{Address: b.at.Platform}
	return list.Set(ctx, vmlist.VM{Name: name, Address: a.Peers, Role: vmlist.Node, DataCentre: s.DataCentre, State: vmlist.Live})
}

// ready waits until every node knows every other and all servers are owned.
func (b *bench) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, b.set.Ready)
	defer cancel()
	t := time.NewTicker(pollPeriod)
	defer t.Stop()
	for {
		missing := b.missing()
		if missing == "" {
			break
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return &NotReady{What: missing}
		}
	}
	time.Sleep(b.set.Settle)
	return nil
}

// missing tells what some node lacks, empty if nothing.
func (b *bench) missing() string {
	owned := 0
	for _, n := range b.nodes {
		r := n.Status()
		if len(r.Nodes) != b.size.Nodes || !r.Ready {
			return fmt.Sprintf("%s knows %d nodes of %d, ready: %v", r.Node, len(r.Nodes), b.size.Nodes, r.Ready)
		}
		if len(r.Servers) != b.size.Servers {
			return fmt.Sprintf("%s knows %d servers of %d", r.Node, len(r.Servers), b.size.Servers)
		}
		owned += len(r.Leases)
	}
	if owned != b.size.Servers {
		return fmt.Sprintf("%d of %d servers are owned", owned, b.size.Servers)
	}
	return ""
}

// measure reads the counters at the ends of the windows.
func (b *bench) measure(ctx context.Context) (Point, error) {
	rates := map[string][]float64{}
	before, err := b.read()
	if err != nil {
		return Point{}, err
	}
	for range b.set.Windows {
		select {
		case <-time.After(b.set.Window):
		case <-ctx.Done():
			return Point{}, context.Cause(ctx)
		}
		after, err := b.read()
		if err != nil {
			return Point{}, err
		}
		for name, v := range after.since(before) {
			rates[name] = append(rates[name], v)
		}
		before = after
	}
	p := Point{Size: b.size, Values: map[string]float64{}, Load: loadAverage()}
	for name, all := range rates {
		p.Values[name] = stat.Mean(all, nil)
	}
	p.Values[processor] = median(rates[processor]) // other processes disturb it
	b.memory(p.Values)
	return p, nil
}

// memory adds what a node keeps.
func (b *bench) memory(values map[string]float64) {
	values["goroutines"] = float64(runtime.NumGoroutine()) / float64(len(b.nodes))
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	values["heap bytes"] = float64(m.HeapAlloc) / float64(len(b.nodes))
	values["stack bytes"] = float64(m.StackInuse) / float64(len(b.nodes))
}

// read reads all counters.
func (b *bench) read() (reading, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return reading{}, eris.Wrap(err, "processor time")
	}
	r := reading{at: time.Now(), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano())}
	for _, n := range b.nodes {
		values, err := counters(n.Gatherer())
		if err != nil {
			return r, err
		}
		r.nodes = append(r.nodes, values)
	}
	return r, nil
}

// counters returns a node's counters by short name.
func counters(g prometheus.Gatherer) (map[string]float64, error) {
	families, err := g.Gather()
	if err != nil {
		return nil, eris.Wrap(err, "gather")
	}
	out := map[string]float64{}
	for _, f := range families {
		if !slices.Contains([]string{controlName, spentName, datagrams}, f.GetName()) {
			continue
		}
		for _, m := range f.GetMetric() {
			labels := map[string]string{}
			for _, l := range m.GetLabel() {
				labels[l.GetName()] = l.GetValue()
			}
			out[short(f.GetName(), labels)] += m.GetCounter().GetValue()
		}
	}
	for name, v := range maps.Clone(out) {
		if _, direction, ok := strings.Cut(name, " bytes "); ok {
			out["all bytes "+direction] += v
		}
	}
	return out, nil
}

// short names a counter in tables.
func short(name string, labels map[string]string) string {
	switch name {
	case controlName:
		return labels["kind"] + " bytes " + labels["direction"]
	case spentName:
		return labels["kind"] + " seconds"
	}
	return "datagram bytes"
}

// since returns the rates from before to r, each a second.
func (r reading) since(before reading) map[string]float64 {
	seconds := r.at.Sub(before.at).Seconds()
	out := map[string]float64{processor: (r.cpu - before.cpu).Seconds() / seconds / float64(len(r.nodes))}
	for i, values := range r.nodes {
		for name, v := range values {
			rate := (v - before.nodes[i][name]) / seconds
			out[name] += rate / float64(len(r.nodes))
			out["max "+name] = max(out["max "+name], rate)
		}
	}
	return out
}

// loadAverage returns the machine's load average over a minute, zero if it
// can't be read.
func loadAverage() float64 {
	var load float64
	text, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		_, _ = fmt.Sscan(string(text), &load)
	}
	return load
}
