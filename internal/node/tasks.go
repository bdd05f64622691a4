package node

import (
	"context"
	"errors"
	"net/http"
	"reflect"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/config"
	"guavapaddle/core/config/head"
	"guavapaddle/core/member"
	"guavapaddle/core/status"
	"guavapaddle/core/view"
	"guavapaddle/internal/configsync"
	"guavapaddle/internal/metrics"
	"guavapaddle/io/vmlist"
)

const (
	publishPeriod       = 50 * time.Millisecond
	configPeriod        = 250 * time.Millisecond
	minLoadPeriod       = 3 * time.Second        // minimum time between views that differ only in load
	loadPeriodPerServer = 50 * time.Millisecond  // minimum time between such views, per known server
	minVMPeriod         = time.Second            // minimum time between reads of the VM list
	vmPeriodPerVM       = 100 * time.Millisecond // time between reads per listed VM beyond uncountedVMs
	uncountedVMs        = 40                     // listed VMs that don't lengthen the period
	keysPeriod          = 10 * time.Second
	drainPoll           = 20 * time.Millisecond
	drainReport         = 5 * time.Second // between log lines about what a shutdown waits for
	flushTimeout        = 5 * time.Second
	leaveTimeout        = time.Second
	noRetries           = -1 // retry share that disables retries; zero would select the default
	roleNode            = "node"
)

type (
	// publisher records the views of owned servers that were last published.
	publisher struct {
		last map[string]published
	}

	published struct {
		view view.Server
		at   time.Time
	}

	// configPeer is another node that may have the body of a configuration.
	configPeer struct {
		node *Node
		name string
	}
)

// housekeeping runs the periodic tasks until ctx ends.
func (n *Node) housekeeping(ctx context.Context) {
	t := time.NewTicker(publishPeriod)
	defer t.Stop()
	var configAt, vmsAt, keysAt, marksAt time.Time
	for {
		now := time.Now()
		n.publishViews(now)
		if now.Sub(configAt) >= configPeriod {
			configAt = now
			n.applyConfig()
		}
		if n.vms != nil && now.Sub(vmsAt) >= n.vmsPeriod() {
			vmsAt = now
			go n.readVMs(ctx)
		}
		if now.Sub(marksAt) >= marksPeriod {
			marksAt = now
			n.gossipMarks(ctx)
		}
		if now.Sub(keysAt) >= keysPeriod {
			keysAt = now
			n.reloadKeys()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// applyConfig passes the configuration in force to the node's components and
// announces it to the other nodes.
func (n *Node) applyConfig() {
	defer n.control.Measure(metrics.Configuration)()
	n.exchangeVersions()
	n.configure()
	n.applyLeaving()
}

// publishViews publishes changed views of the owned servers, and makes the
// dispatcher serve exactly the owned servers.
func (n *Node) publishViews(now time.Time) {
	defer n.control.Measure(metrics.Views)()
	if n.publish.last == nil {
		n.publish.last = map[string]published{}
	}
	owned := map[string]bool{}
	period := n.loadsPeriod()
	for _, v := range n.owner.Views() {
		owned[v.Server] = true
		n.dispatch.Acquire(v.Server, n.slotsOf(v.Server))
		last, ok := n.publish.last[v.Server]
		publish := n.cluster.Publish
		if ok && equalExceptLoad(last.view, v) {
			if now.Sub(last.at) < period || sameLoad(last.view, v) {
				continue
			}
			publish = n.cluster.PublishLoad
		}
		n.publish.last[v.Server] = published{view: v, at: now}
		if err := publish(v); err != nil {
			n.log.Error("publish", zap.Error(err))
		}
	}
	for _, name := range n.dispatch.Owned() {
		if !owned[name] {
			n.dispatch.Release(name)
			delete(n.publish.last, name)
		}
	}
}

// equalExceptLoad reports whether two views are equal apart from load and sequence.
func equalExceptLoad(a, b view.Server) bool {
	b.Sequence, b.Running, b.Queued, b.WaitMS = a.Sequence, a.Running, a.Queued, a.WaitMS
	return reflect.DeepEqual(a, b)
}

// sameLoad reports whether two views have the same numbers of running and queued
// requests.
func sameLoad(a, b view.Server) bool {
	return a.Running == b.Running && a.Queued == b.Queued
}

func (n *Node) slotsOf(server string) int {
	if x := n.follower.Index(); x != nil {
		if s, ok := x.Server(server); ok && s.Slots > 0 {
			return s.Slots
		}
	}
	return 1
}

// configure updates the components that depend on the configuration or on the
// number of nodes and don't need to react to each change.
func (n *Node) configure() {
	x := n.follower.Index()
	if x == nil {
		return
	}
	var serviceServers []config.BackendServer
	var addresses []string
	for _, s := range x.Document().Servers {
		if s.Type == config.Service {
			serviceServers = append(serviceServers, s)
			addresses = append(addresses, s.Address)
		}
	}
	n.limits.configure(x, len(n.cluster.ActiveNodes()))
	n.pool.Set(serviceServers, n.views.Leaving)
	n.services.Retain(addresses)
}

// exchangeVersions passes the configuration versions of other nodes to the follower
// and announces this node's version.
func (n *Node) exchangeVersions() {
	fresh := n.follower.Fresh()
	ref := n.follower.InForce()
	for _, m := range n.cluster.Nodes() {
		if m.Name != n.settings.Name && m.Status == member.Alive && m.ConfigVersion > 0 {
			n.follower.AddHint(m.ConfigVersion, m.ConfigHash)
		}
		if m.Name == n.settings.Name && (m.Fresh != fresh || m.ConfigVersion != ref.Version) {
			n.cluster.Update(func(s *member.Node) {
				s.Fresh, s.ConfigVersion, s.ConfigHash = fresh, ref.Version, ref.Hash
			})
		}
	}
}

// onConfigChange puts a new configuration into use.
func (n *Node) onConfigChange(x *config.Index) {
	defer n.control.Measure(metrics.Configuration)()
	n.owner.SetDocument(*x.Document(), x.Version())
	n.views.Retain(func(server string) bool { _, ok := x.Server(server); return ok })
	share := x.Limits().RetryShare
	if share == 0 {
		share = noRetries
	}
	n.router.SetRetryShare(share)
	n.calls.SetRetryShare(share)
	n.log.Info("configuration in force", zap.Uint64("version", x.Version()), zap.String("hash", x.Hash()))
}

// readVMs reads the platform's VM list.
func (n *Node) readVMs(ctx context.Context) {
	list, err := n.vms.List(ctx)
	if err != nil {
		return // keep the previous list; the VM list lags anyway
	}
	n.mu.Lock()
	n.vmSeeds, n.listedVMs = nil, len(list)
	var leaving []string
	for _, vm := range list {
		if vm.Role == roleNode {
			n.vmSeeds = append(n.vmSeeds, vm.Address)
		} else if vm.State == vmlist.Leaving {
			leaving = append(leaving, vm.Name)
		}
	}
	n.mu.Unlock()
	n.updateVMsLeaving(leaving)
}

// vmsPeriod returns the time between reads of the VM list. It grows with the length
// of the list, so that a node reads no more bytes per second in a large system. The
// first node that reads of a leaving VM announces it to the others.
func (n *Node) vmsPeriod() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(minVMPeriod, time.Duration(n.listedVMs-uncountedVMs)*vmPeriodPerVM)
}

// loadsPeriod returns the time between views that differ only in load. It grows with
// the number of servers, since every view reaches every node. In between, replies
// carry the load of the servers that a node uses.
func (n *Node) loadsPeriod() time.Duration {
	return max(minLoadPeriod, time.Duration(n.views.Len())*loadPeriodPerServer)
}

// seeds returns the addresses of nodes from the settings and the VM list.
func (n *Node) seeds() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append(n.settings.seeds(), n.vmSeeds...)
}

// reloadKeys reloads the key and the certificates from their files.
func (n *Node) reloadKeys() {
	if err := n.keys.Load(); err != nil {
		n.log.Warn("cannot reload the keys; the previous keys stay in use", zap.Error(err))
	}
}

// shutdown stops the node in this order: it reports that it is not ready, refuses
// new requests, releases its servers, waits for requests in flight, writes pending
// claims and leaves the cluster.
func (n *Node) shutdown(ctx context.Context, release func()) {
	n.log.Info("shutdown begins")
	n.leaving.Store(true)
	n.cluster.Update(func(s *member.Node) { s.Leaving = true })
	sleep(ctx, n.settings.DrainNotice)
	n.draining.Store(true)
	release()
	n.publishViews(time.Now())
	for last := time.Now(); n.callers.OpenRequests() > 0 || n.dispatch.Active() > 0; sleep(ctx, drainPoll) {
		if time.Since(last) >= drainReport {
			last = time.Now()
			n.log.Info("shutdown-waits", zap.Int("callers", n.callers.OpenRequests()), zap.Int("dispatched", n.dispatch.Active()))
		}
	}
	flush, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if left := n.claims.Flush(flush); left > 0 {
		n.log.Warn("claims not written", zap.Int("count", left))
	}
	leave, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	n.cluster.Leave(leave)
	n.log.Info("shutdown ends")
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// configPeers returns the other active nodes, from which configuration bodies can be
// fetched.
func (n *Node) configPeers() []configsync.Peer {
	var out []configsync.Peer
	for _, name := range n.cluster.ActiveNodes() {
		if name != n.settings.Name {
			out = append(out, &configPeer{node: n, name: name})
		}
	}
	return out
}

// FetchConfig implements configsync.Peer.
func (p *configPeer) FetchConfig(ctx context.Context, hash string) ([]byte, error) {
	return p.node.cluster.FetchConfig(ctx, p.name, hash)
}

// ConfigHead implements configsync.Peer.
func (p *configPeer) ConfigHead(ctx context.Context) (ref head.Ref, fresh bool, err error) {
	return p.node.cluster.QueryConfigHead(ctx, p.name)
}

// Status implements operator.Reporter.
func (n *Node) Status() status.Report {
	ref := n.follower.InForce()
	r := status.Report{
		Node:          n.settings.Name,
		Ready:         n.Ready() == nil,
		Fresh:         n.follower.Fresh(),
		ConfigVersion: ref.Version,
		ConfigHash:    ref.Hash,
		TableUp:       n.follower.TableUp(),
		Servers:       n.views.All(),
		Leases:        n.owner.Leases(),
	}
	for _, m := range n.cluster.Nodes() {
		s := status.Node{Name: m.Name, Address: m.Operator, DataCentre: m.DataCentre, State: status.Live, ConfigVersion: m.ConfigVersion}
		switch {
		case m.Status >= member.Dead:
			s.State = status.Silent
		case m.Leaving:
			s.State = status.Leaving
		}
		if m.Status != member.Left {
			r.Nodes = append(r.Nodes, s)
		}
	}
	return r
}

// traceEvent records an event in the trace of a request.
func (n *Node) traceEvent(id, event string, fields ...zap.Field) {
	out := make([]status.Field, 0, len(fields))
	for _, f := range fields {
		out = append(out, status.Field{Name: f.Key, Value: text(f)})
	}
	n.trace.Add(id, event, out...)
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
