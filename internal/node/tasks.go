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
	publishPeriod = 50 * time.Millisecond
	configPeriod  = 250 * time.Millisecond
	loadPeriod    = 3 * time.Second        // between views that differ in load only, at least
	loadShare     = 50 * time.Millisecond  // the same for each server that is known
	vmPeriod      = time.Second            // between readings of the VM list, at least
	vmShare       = 100 * time.Millisecond // the same for each VM that is listed beyond vmFew
	vmFew         = 40
	keysPeriod    = 10 * time.Second
	drainPoll     = 20 * time.Millisecond
	drainReport   = 5 * time.Second // between lines of what a shutdown waits for
	flushTimeout  = 5 * time.Second
	leaveTimeout  = time.Second
	noRetries     = -1 // as a share: zero would be the default
	roleNode      = "node"
)

type (
	// publisher spreads the views of owned servers.
	publisher struct {
		last map[string]published
	}

	published struct {
		view view.Server
		at   time.Time
	}

	// configPeer is another node that may have a configuration's body.
	configPeer struct {
		node *Node
		name string
	}
)

// housekeeping does what is due periodically until ctx ends.
func (n *Node) housekeeping(ctx context.Context) {
	t := time.NewTicker(publishPeriod)
	defer t.Stop()
	var configAt, vmsAt, keysAt, marksAt time.Time
	for {
		now := time.Now()
		n.publishViews(now)
		if now.Sub(configAt) >= configPeriod {
			configAt = now
			n.followConfig()
		}
		if n.vms != nil && now.Sub(vmsAt) >= n.vmsPeriod() {
			vmsAt = now
			go n.readVMs(ctx)
		}
		if now.Sub(marksAt) >= marksPeriod {
			marksAt = now
			n.tellMarks(ctx)
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

// followConfig tells other parts and nodes what configuration is in force.
func (n *Node) followConfig() {
	defer n.control.Time(metrics.Configuration)()
	n.hint()
	n.configure()
	n.notice()
}

// publishViews spreads what changed of the owned servers, and makes the
// dispatcher serve just those.
func (n *Node) publishViews(now time.Time) {
	defer n.control.Time(metrics.Views)()
	if n.publish.last == nil {
		n.publish.last = map[string]published{}
	}
	owned := map[string]bool{}
	loadPeriod := n.loadsPeriod()
	for _, v := range n.owner.Views() {
		owned[v.Server] = true
		n.dispatch.Own(v.Server, n.slotsOf(v.Server))
		last, ok := n.publish.last[v.Server]
		publish := n.cluster.Publish
		if ok && sameBut(last.view, v) {
			if now.Sub(last.at) < loadPeriod || sameLoad(last.view, v) {
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
			n.dispatch.Disown(name)
			delete(n.publish.last, name)
		}
	}
}

// sameBut tells whether two views differ in load and sequence at most.
func sameBut(a, b view.Server) bool {
	b.Sequence, b.Running, b.Queued, b.WaitMS = a.Sequence, a.Running, a.Queued, a.WaitMS
	return reflect.DeepEqual(a, b)
}

// sameLoad tells whether two views show the same load.
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

// configure tells the parts that need no event what the configuration and the
// count of nodes mean for them.
func (n *Node) configure() {
	x := n.follower.Index()
	if x == nil {
		return
	}
	var all []config.BackendServer
	var addresses []string
	for _, s := range x.Document().Servers {
		if s.Type == config.Service {
			all = append(all, s)
			addresses = append(addresses, s.Address)
		}
	}
	n.limits.configure(x, len(n.cluster.Working()))
	n.pool.Set(all, n.views.Leaving)
	n.services.Keep(addresses)
}

// hint tells the follower which versions other nodes have, and the other nodes
// which this one has.
func (n *Node) hint() {
	fresh := n.follower.Fresh()
	ref := n.follower.InForce()
	for _, m := range n.cluster.Nodes() {
		if m.Name != n.settings.Name && m.Status == member.Alive && m.ConfigVersion > 0 {
			n.follower.Hint(m.ConfigVersion, m.ConfigHash)
		}
		if m.Name == n.settings.Name && (m.Fresh != fresh || m.ConfigVersion != ref.Version) {
			n.cluster.Update(func(s *member.Node) {
				s.Fresh, s.ConfigVersion, s.ConfigHash = fresh, ref.Version, ref.Hash
			})
		}
	}
}

// configured takes a new configuration into use.
func (n *Node) configured(x *config.Index) {
	defer n.control.Time(metrics.Configuration)()
	n.owner.SetDocument(*x.Document(), x.Version())
	n.views.Keep(func(server string) bool { _, ok := x.Server(server); return ok })
	share := x.Limits().RetryShare
	if share == 0 {
		share = noRetries
	}
	n.router.SetRetryShare(share)
	n.calls.SetRetryShare(share)
	n.log.Info("configuration in force", zap.Uint64("version", x.Version()), zap.String("hash", x.Hash()))
}

// readVMs reads the platform's list of VMs.
func (n *Node) readVMs(ctx context.Context) {
	list, err := n.vms.List(ctx)
	if err != nil {
		return // it lags anyway; what is known stays
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
	n.noticeRead(leaving)
}

// vmsPeriod is the time between readings of the VM list. It grows with the
// list, so that a node reads no more bytes a second in a large system; the
// first node to read of a VM that leaves tells the others.
func (n *Node) vmsPeriod() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(vmPeriod, time.Duration(n.listedVMs-vmFew)*vmShare)
}

// loadsPeriod is the time between views that differ in load only. It grows with
// the count of servers, whose views all reach every node; answers tell the load
// of the servers that a node uses in between.
func (n *Node) loadsPeriod() time.Duration {
	return max(loadPeriod, time.Duration(n.views.Len())*loadShare)
}

// seeds returns the addresses of nodes from settings and VM list.
func (n *Node) seeds() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append(n.settings.seeds(), n.vmSeeds...)
}

// reloadKeys reads keys and certificates again.
func (n *Node) reloadKeys() {
	if err := n.keys.Load(); err != nil {
		n.log.Warn("keys not loaded, the old ones stay in use", zap.Error(err))
	}
}

// shutdown ends the node's work: readiness first, then new requests, ownership,
// requests in flight, and last the claims that are still to be written.
func (n *Node) shutdown(ctx context.Context, release func()) {
	n.log.Info("shutdown begins")
	n.leaving.Store(true)
	n.cluster.Update(func(s *member.Node) { s.Leaving = true })
	wait(ctx, n.settings.Notice)
	n.draining.Store(true)
	release()
	n.publishViews(time.Now())
	for last := time.Now(); n.callers.Open() > 0 || n.dispatch.Active() > 0; wait(ctx, drainPoll) {
		if time.Since(last) >= drainReport {
			last = time.Now()
			n.log.Info("shutdown-waits", zap.Int("callers", n.callers.Open()), zap.Int("dispatched", n.dispatch.Active()))
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

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// configPeers returns the other nodes that may have a configuration's body.
func (n *Node) configPeers() []configsync.Peer {
	var out []configsync.Peer
	for _, name := range n.cluster.Working() {
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
	return p.node.cluster.AskConfigHead(ctx, p.name)
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

// note records an event of a request for explain.
func (n *Node) note(id, event string, fields ...zap.Field) {
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
