package front

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"guavapaddle/core/admission"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/lag"
	"guavapaddle/io/tcp"
)

const (
	// trafficInterval is the time between two log lines of the traffic while the node is overloaded.
	trafficInterval = time.Second
	// utilizationSmoothing is the time constant of the mean utilization of the link.
	utilizationSmoothing = 250 * time.Millisecond
	bitsPerByte          = 8
	bitsPerMbit          = 1e6
	// probeTimeout limits a probe of the link.
	probeTimeout = time.Second

	fromPeer, toPeer = "received", "sent" // directions of bytes
)

type (
	// linkTraffic counts the bytes of this node's connections. Those to other nodes are counted by their endpoint.
	linkTraffic struct {
		clients, servers, store tcp.Traffic
		probes                  atomic.Uint32 // of the link, so far

		lastSent, lastReceived uint64  // at the last sample; used by observeLag only
		utilization            float64 // moving mean; likewise
	}

	// peerBytes are the bytes exchanged with one kind of peer since the start.
	peerBytes struct {
		peer           string
		sent, received uint64
	}
)

// trafficBytes returns the bytes by kind of peer. Of datagrams from other nodes only the frames are counted.
func (n *Node) trafficBytes() []peerBytes {
	var list []peerBytes
	for _, t := range []struct {
		peer    string
		traffic *tcp.Traffic
	}{{"clients", &n.traffic.clients}, {"servers", &n.traffic.servers}, {"store", &n.traffic.store}} {
		sent, received := t.traffic.Bytes()
		list = append(list, peerBytes{peer: t.peer, sent: sent, received: received})
	}
	return append(list, peerBytes{peer: "nodes", sent: n.endpoint.DatagramBytes(), received: n.endpoint.FrameBytes()})
}

// trafficCollectors returns the metrics of the traffic.
func (n *Node) trafficCollectors() []prometheus.Collector {
	var list []prometheus.Collector
	for i, p := range n.trafficBytes() {
		for direction, value := range map[string]func() float64{
			toPeer:   func() float64 { return float64(n.trafficBytes()[i].sent) },
			fromPeer: func() float64 { return float64(n.trafficBytes()[i].received) },
		} {
			list = append(list, prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "guavapaddle", Subsystem: "link", Name: "bytes_total",
				Help: "Bytes exchanged with peers, without headers of TCP, UDP and IP.", ConstLabels: prometheus.Labels{"peer": p.peer, "direction": direction}}, value))
		}
	}
	return list
}

// observeLag processes a sample of how late this process is.
func (n *Node) observeLag(s lag.Sample) {
	n.beat()
	utilization := n.traffic.observe(n.trafficBytes(), n.settings.LinkMbps, s.Elapsed)
	n.admission.observe(admission.Sample{Processor: s.Scheduling, Link: s.Link, Utilization: utilization})
}

// observe returns the mean utilization of a link with a rate, in the direction that carries more, given the bytes since the start and the time
// since the last call. It returns zero if the rate isn't known.
func (t *linkTraffic) observe(peers []peerBytes, mbps float64, elapsed time.Duration) float64 {
	if mbps == 0 || elapsed <= 0 {
		return 0
	}
	var sent, received uint64
	for _, p := range peers {
		sent, received = sent+p.sent, received+p.received
	}
	more := max(sent-t.lastSent, received-t.lastReceived)
	t.lastSent, t.lastReceived = sent, received
	now := float64(more*bitsPerByte) / (mbps * bitsPerMbit * elapsed.Seconds())
	t.utilization += (now - t.utilization) * min(1, elapsed.Seconds()/utilizationSmoothing.Seconds())
	return t.utilization
}

// probeLink makes a round trip to the store or a seed in turn, by opening a connection. It needs no answer of theirs.
func (n *Node) probeLink() {
	targets := append([]string{n.settings.Store}, n.settings.Seeds...)
	address := targets[int(n.traffic.probes.Add(1))%len(targets)]
	trip := lag.BeginRoundTrip(address)
	d := net.Dialer{Timeout: lag.Extend(probeTimeout)}
	c, err := d.Dial("tcp4", address)
	trip.EndWith(err)
	if err != nil {
		n.log.Debug("probe-failed", zap.String("address", address), zap.Error(err))
		return
	}
	_ = c.Close()
}

// logTraffic logs each second of an overload what the link carried in it, and the state that depends on it, until ctx ends.
func (n *Node) logTraffic(ctx context.Context) {
	t := time.NewTicker(trafficInterval)
	defer t.Stop()
	before := n.trafficBytes()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := n.trafficBytes()
		if n.admission.isOverloaded() {
			last := n.admission.lastSample()
			fields := []zap.Field{zap.Duration("config-age", n.follower.ConfigAge()), zap.Duration("allowance", lag.Allowance()), zap.Duration("link", last.Link), zap.Float64("utilization", last.Utilization),
				zap.Duration("leader-age", clock.SinceBoot()-time.Duration(n.leaderReplyAt.Load()))}
			for i, p := range now {
				fields = append(fields, zap.Uint64(p.peer+"-"+fromPeer, p.received-before[i].received), zap.Uint64(p.peer+"-"+toPeer, p.sent-before[i].sent))
			}
			n.log.Info("link-traffic", fields...)
		}
		before = now
	}
}
