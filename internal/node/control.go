package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"guavapaddle/core/member"
	"guavapaddle/internal/cluster"
	"guavapaddle/internal/metrics"
	"guavapaddle/io/peer"
	"guavapaddle/io/tcp"
)

const (
	namespace = "guavapaddle"

	sent     = "sent"
	received = "received"

	controlTraffic = "control"
	requestTraffic = "request"
)

type (
	// platformTraffic counts the bytes of calls to the platform's services and to
	// engines.
	platformTraffic struct {
		table, objects, vms, engines tcp.Traffic
	}

	// gauges collects the metrics that are read from the node's components at the
	// time of a scrape.
	gauges struct {
		node *Node

		control, peers, datagrams             *prometheus.Desc
		queued, running, wait                 *prometheus.Desc
		nodes, table, fresh, keyExpiry, lease *prometheus.Desc
	}
)

// controlKinds maps the kinds of control frames to their label. Membership is not
// included, because its frames carry views as well.
var controlKinds = map[peer.Kind]metrics.Work{
	cluster.KindConfig:  metrics.Configuration,
	cluster.KindDemand:  metrics.Demand,
	cluster.KindPlan:    metrics.Plans,
	cluster.KindSuspect: metrics.Marks,
}

// Gatherer returns the gatherer of the node's metrics.
func (n *Node) Gatherer() prometheus.Gatherer { return n.registry }

// registerControl registers the cost of control work, the node's gauges, and the
// metrics of the process and the Go runtime.
func (n *Node) registerControl() {
	n.registry.MustRegister(n.control.Collectors()...)
	n.registry.MustRegister(collectors.NewGoCollector(), newGauges(n),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}

func newGauges(n *Node) *gauges {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
	}
	return &gauges{
		node:      n,
		control:   desc("control_bytes_total", "Bytes of control by kind, without the headers of QUIC, TCP and below.", "kind", "direction"),
		peers:     desc("peer_bytes_total", "Bytes of frames between nodes.", "traffic", "direction"),
		datagrams: desc("peer_datagram_bytes_total", "Bytes of datagrams sent to other nodes, QUIC's headers included."),
		queued:    desc("queue_length", "Requests that wait for an owned backend server.", "server"),
		running:   desc("running_requests", "Requests that run on an owned backend server.", "server"),
		wait:      desc("queue_wait_seconds", "Estimated wait of a new request of normal urgency.", "server"),
		nodes:     desc("nodes", "Nodes that are known, by state.", "state"),
		table:     desc("table_up", "1 if the last read of the table service succeeded."),
		fresh:     desc("config_fresh", "1 if the configuration was confirmed since the last pause."),
		keyExpiry: desc("key_expiry_timestamp_seconds", "When the node's certificate ends, seconds since 1970."),
		lease:     desc("lease_remaining_seconds", "How long the node may still send orders by its leases.", "server"),
	}
}

// Describe implements prometheus.Collector.
func (g *gauges) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		g.control, g.peers, g.datagrams, g.queued, g.running, g.wait, g.nodes, g.table, g.fresh, g.keyExpiry, g.lease,
	} {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (g *gauges) Collect(to chan<- prometheus.Metric) {
	g.traffic(to)
	g.servers(to)
	g.state(to)
}

// traffic collects the bytes exchanged, by kind.
func (g *gauges) traffic(to chan<- prometheus.Metric) {
	c, e := g.node.cluster, g.node.cluster.Endpoint
	var control, request [2]uint64
	count := func(kind string, out, in uint64) {
		to <- prometheus.MustNewConstMetric(g.control, prometheus.CounterValue, float64(out), kind, sent)
		to <- prometheus.MustNewConstMetric(g.control, prometheus.CounterValue, float64(in), kind, received)
	}
	out, in := e.Traffic(cluster.KindMember)
	control[0], control[1] = out, in
	viewsOut, viewsIn := c.ViewBytes()
	count(string(metrics.Views), viewsOut, viewsIn)
	count(string(metrics.Membership), out-min(out, viewsOut), in-min(in, viewsIn))
	for k, work := range controlKinds {
		out, in := e.Traffic(k)
		control[0], control[1] = control[0]+out, control[1]+in
		count(string(work), out, in)
	}
	for _, k := range []peer.Kind{cluster.KindJob, cluster.KindReply, cluster.KindCancel} {
		out, in := e.Traffic(k)
		request[0], request[1] = request[0]+out, request[1]+in
	}
	g.platform(count)
	for traffic, bytes := range map[string][2]uint64{controlTraffic: control, requestTraffic: request} {
		to <- prometheus.MustNewConstMetric(g.peers, prometheus.CounterValue, float64(bytes[0]), traffic, sent)
		to <- prometheus.MustNewConstMetric(g.peers, prometheus.CounterValue, float64(bytes[1]), traffic, received)
	}
	to <- prometheus.MustNewConstMetric(g.datagrams, prometheus.CounterValue, float64(e.DatagramBytes()))
}

// platform collects the bytes of calls to the platform's services and to engines.
func (g *gauges) platform(count func(kind string, out, in uint64)) {
	p := &g.node.platform
	for kind, t := range map[string]*tcp.Traffic{
		"table": &p.table, "objects": &p.objects, "vm-list": &p.vms, "engines": &p.engines,
	} {
		out, in := t.Bytes()
		count(kind, out, in)
	}
}

// servers collects the load and the leases of owned servers.
func (g *gauges) servers(to chan<- prometheus.Metric) {
	for _, name := range g.node.dispatch.Owned() {
		l, ok := g.node.dispatch.Load(name)
		if !ok {
			continue
		}
		wait := time.Duration(l.WaitMS) * time.Millisecond
		to <- prometheus.MustNewConstMetric(g.queued, prometheus.GaugeValue, float64(l.Queued), name)
		to <- prometheus.MustNewConstMetric(g.running, prometheus.GaugeValue, float64(l.Running), name)
		to <- prometheus.MustNewConstMetric(g.wait, prometheus.GaugeValue, wait.Seconds(), name)
	}
	for _, l := range g.node.owner.Leases() {
		remaining := time.Duration(l.ExpiresIn) * time.Millisecond
		to <- prometheus.MustNewConstMetric(g.lease, prometheus.GaugeValue, remaining.Seconds(), l.Server)
	}
}

// state collects the known nodes by state, and the state of this node's table
// access, configuration and certificate.
func (g *gauges) state(to chan<- prometheus.Metric) {
	counts := map[member.Status]int{}
	for _, n := range g.node.cluster.Nodes() {
		counts[n.Status]++
	}
	for status, name := range map[member.Status]string{
		member.Alive: "live", member.Suspect: "suspect", member.Dead: "silent", member.Left: "left",
	} {
		to <- prometheus.MustNewConstMetric(g.nodes, prometheus.GaugeValue, float64(counts[status]), name)
	}
	to <- prometheus.MustNewConstMetric(g.table, prometheus.GaugeValue, oneIf(g.node.follower.TableUp()))
	to <- prometheus.MustNewConstMetric(g.fresh, prometheus.GaugeValue, oneIf(g.node.follower.Fresh()))
	expires := float64(g.node.keys.Expires().Unix())
	to <- prometheus.MustNewConstMetric(g.keyExpiry, prometheus.GaugeValue, expires)
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
