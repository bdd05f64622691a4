package place

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"guavapaddle/core/backend"
)

// rendezvousHash returns the weight by which a server is ranked among the holders of an
// item; lower values rank first.
func rendezvousHash(item, server string) uint64 {
	var buffer [128]byte
	input := append(buffer[:0], item...)
	input = append(input, 0)
	input = append(input, server...)
	return xxhash.Sum64(input)
}

// Anchors returns the n of the given holders that must not drop the item. Pass only live,
// reachable servers on which the item is resident.
func Anchors(item backend.Item, holders []string, n int) []string {
	name := item.String()
	sorted := slices.Clone(holders)
	slices.SortFunc(sorted, func(a, b string) int {
		ra, rb := rendezvousHash(name, a), rendezvousHash(name, b)
		switch {
		case ra < rb:
			return -1
		case ra > rb:
			return 1
		default:
			return strings.Compare(a, b)
		}
	})
	return sorted[:min(n, len(sorted))]
}

// MayUnload reports whether server may drop a declared item with the given minimum number of
// copies, where holders are the live servers that hold it.
func MayUnload(item backend.Item, server string, holders []string, minCopies int) bool {
	minCopies = max(1, minCopies)
	if !slices.Contains(holders, server) {
		return len(holders) >= minCopies
	}
	return len(holders) > minCopies && !slices.Contains(Anchors(item, holders, minCopies), server)
}
