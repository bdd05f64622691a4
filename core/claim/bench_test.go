package claim_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"guavapaddle/core/claim"
	"guavapaddle/core/row"
)

// BenchmarkBatch measures building and encoding a transaction of n claims.
func BenchmarkBatch(b *testing.B) {
	for _, n := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprint("claims=", n), func(b *testing.B) {
			changes := make([]claim.Change, n)
			for i := range changes {
				key := claim.Key("team-0001", fmt.Sprintf("booking-%06d", i))
				changes[i] = claim.Insert(key, claim.Claim{
					Team: "team-0001", BodyHash: claim.BodyHash("bookings", "POST", "/bookings/confirm", []byte("b")),
					Attempt: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Node: "node-001", Incarnation: 1 << 60,
					RequestID: "0123456789abcdef01234567", AtMS: 1 << 40, DeadlineMS: 1 << 40,
				}, 0)
			}
			var size int
			b.ReportAllocs()
			for b.Loop() {
				var tx row.Tx
				for _, c := range changes {
					tx = c.AddTo(tx)
				}
				text, err := json.Marshal(claim.AddBatch(tx, 1, "node-001-x", changes))
				if err != nil {
					b.Fatal(err)
				}
				size = len(text)
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/claim")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/claim")
		})
	}
}
