package views_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"guavapaddle/core/backend"
	"guavapaddle/core/forward"
	"guavapaddle/core/member"
	"guavapaddle/core/view"
	"guavapaddle/internal/views"
)

const itemsPerServer = 12

var serverCounts = []int{20, 100, 300, 600}

func server(i int) view.Server {
	v := view.Server{Server: fmt.Sprintf("engine-%03d", i), Owner: "node-001", Epoch: 1, BootID: "engine-1-1700000000000000000-1", Slots: 64, Reachable: true}
	for j := range itemsPerServer {
		v.Resident = append(v.Resident, backend.Item{Name: fmt.Sprintf("model-%04d", j), Version: "1"})
	}
	return v
}

// BenchmarkPutAll measures storing a view and listing all views, as happens when a
// request follows a change.
func BenchmarkPutAll(b *testing.B) {
	for _, n := range serverCounts {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			s := views.New()
			for i := range n {
				s.Put(server(i))
			}
			v := server(0)
			b.ReportAllocs()
			for b.Loop() {
				v.Sequence++
				s.Put(v)
				s.All()
			}
		})
	}
}

// BenchmarkEncode measures encoding and decoding a message with one view or one load.
func BenchmarkEncode(b *testing.B) {
	view, _ := cbor.Marshal(server(1))
	load, _ := cbor.Marshal(forward.Load{Running: 30, Queued: 3, Slots: 64, WaitMS: 120})
	for name, value := range map[string][]byte{"view": view, "load": load} {
		m := member.Message{Type: member.Gossip, Entries: []member.Entry{{Key: "server/engine-001", Major: 3, Minor: 1 << 20, Value: value}}}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var size int
			for b.Loop() {
				text, err := cbor.Marshal(m)
				if err != nil {
					b.Fatal(err)
				}
				size = len(text)
				var decoded member.Message
				if err := cbor.Unmarshal(text, &decoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
