package place

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"guavapaddle/core/backend"
)

// rank returns the place of a server among the holders of an item: the lower
// the earlier.
func rank(item, server string) uint64 {
	var buf [128]byte
	key := append(buf[:0], item...)
	key = append(key, 0)
	key = append(key, server...)
	return xxhash.Sum64(key)
}

// Anchors returns the n holders of an item, of those given, that must not drop
// it. Give only live, reachable servers where the item is resident.
func Anchors(item backend.Item, holders []string, n int) []string {
	name := item.String()
	sorted := slices.Clone(holders)
	slices.SortFunc(sorted, func(a, b string) int {
		ra, rb := rank(name, a), rank(name, b)
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

// MayDrop tells whether server may drop a declared item that the given live
// servers hold, minCopies being its least number of copies.
func MayDrop(item backend.Item, server string, holders []string, minCopies int) bool {
	minCopies = max(1, minCopies)
	if !slices.Contains(holders, server) {
		return len(holders) >= minCopies
	}
	return len(holders) > minCopies && !slices.Contains(Anchors(item, holders, minCopies), server)
}
