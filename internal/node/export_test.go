package node

import "github.com/prometheus/client_golang/prometheus"

// Described returns the descriptors of all metrics that n registers.
func Described(n *Node) []*prometheus.Desc {
	found := make(chan *prometheus.Desc)
	go func() {
		defer close(found)
		n.registry.Describe(found)
	}()
	var all []*prometheus.Desc
	for d := range found {
		all = append(all, d)
	}
	return all
}
