package node

import (
	"slices"

	"guavapaddle/core/member"
)

// updateVMsLeaving handles a read of the VM list. A leaving VM that neither the
// previous read nor another node has reported is announced to the other nodes until
// it disappears from the list.
func (n *Node) updateVMsLeaving(leaving []string) {
	others, announced := n.announcedLeaving()
	n.mu.Lock()
	previous := n.vmsLeaving
	n.vmsLeaving = leaving
	n.mu.Unlock()
	newlyLeaving := slices.DeleteFunc(slices.Clone(leaving), func(vm string) bool {
		return !slices.Contains(announced, vm) && (slices.Contains(previous, vm) || slices.Contains(others, vm))
	})
	slices.Sort(newlyLeaving)
	if !slices.Equal(newlyLeaving, announced) {
		n.cluster.Update(func(s *member.Node) { s.Noticed = newlyLeaving })
	}
	n.applyLeaving()
}

// applyLeaving updates the views with the leaving VMs: those in this node's last
// read of the VM list and those announced by other live nodes.
func (n *Node) applyLeaving() {
	others, _ := n.announcedLeaving()
	n.mu.Lock()
	own := slices.Clone(n.vmsLeaving)
	n.mu.Unlock()
	n.views.SetLeaving(append(own, others...))
}

// announcedLeaving returns the leaving VMs announced by other live nodes and by
// this node.
func (n *Node) announcedLeaving() (others, own []string) {
	for _, m := range n.cluster.Nodes() {
		switch {
		case m.Name == n.settings.Name:
			own = m.Noticed
		case m.Status <= member.Suspect:
			others = append(others, m.Noticed...)
		}
	}
	return others, own
}
