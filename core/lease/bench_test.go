package lease_test

import (
	"fmt"
	"testing"
	"time"

	"guavapaddle/core/lease"
	"guavapaddle/core/row"
)

// BenchmarkRenew measures renewing a session that owns n servers. A renewal
// writes one row, whatever the number of servers.
func BenchmarkRenew(b *testing.B) {
	for _, n := range []int{1, 8, 64, 600} {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			registry := lease.NewRegistry(lease.Settings{Node: "node-001", Incarnation: "1"})
			revision := uint64(1)
			now := time.Duration(0)
			registry.Committed(now, registry.Renew(now), revision)
			for i := range n {
				name := fmt.Sprintf("engine-%03d", i)
				registry.Observe(now, absentRow(lease.ServerKey(name)))
				tx, ok := registry.Acquire(now, name, 0)
				if !ok {
					b.Fatal("server was not acquired")
				}
				revision++
				registry.Committed(now, tx, revision)
			}
			b.ReportAllocs()
			for b.Loop() {
				now += time.Second
				revision++
				registry.Committed(now, registry.Renew(now), revision)
			}
		})
	}
}

// absentRow returns the result of reading a row that does not exist.
func absentRow(key string) row.Row { return row.Row{Key: key} }
