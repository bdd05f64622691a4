package node

import (
	"slices"

	"guavapaddle/core/member"
)

// noticeRead takes a reading of the VM list in. What leaves by it, and neither
// by the reading before nor by another node, is told to the others, until the
// list no longer has it.
func (n *Node) noticeRead(leaving []string) {
	others, told := n.noticed()
	n.mu.Lock()
	before := n.vmsLeaving
	n.vmsLeaving = leaving
	n.mu.Unlock()
	first := slices.DeleteFunc(slices.Clone(leaving), func(vm string) bool {
		return !slices.Contains(told, vm) && (slices.Contains(before, vm) || slices.Contains(others, vm))
	})
	slices.Sort(first)
	if !slices.Equal(first, told) {
		n.cluster.Update(func(s *member.Node) { s.Noticed = first })
	}
	n.notice()
}

// notice makes known which VMs leave: those by the own reading of the VM list
// and those that other live nodes have noticed.
func (n *Node) notice() {
	others, _ := n.noticed()
	n.mu.Lock()
	own := slices.Clone(n.vmsLeaving)
	n.mu.Unlock()
	n.views.SetLeaving(append(own, others...))
}

// noticed returns the VMs that other live nodes noticed, and what this node
// tells of that kind.
func (n *Node) noticed() (others, told []string) {
	for _, m := range n.cluster.Nodes() {
		switch {
		case m.Name == n.settings.Name:
			told = m.Noticed
		case m.Status <= member.Suspect:
			others = append(others, m.Noticed...)
		}
	}
	return others, told
}
