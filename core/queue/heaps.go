package queue

// expiryHeap orders waiting entries by their latest start, for container/heap.
type expiryHeap []*waiting

// ageHeap orders waiting entries by the time of their next promotion, for
// container/heap.
type ageHeap []*waiting

// Len returns the number of entries.
func (h expiryHeap) Len() int { return len(h) }

// Less reports whether entry i expires before entry j.
func (h expiryHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }

// Swap swaps entries i and j.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

// Push appends a *waiting.
func (h *expiryHeap) Push(x any) {
	w := x.(*waiting)
	w.expiryIndex = len(*h)
	*h = append(*h, w)
}

// Pop removes and returns the last entry.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.expiryIndex = -1
	return w
}

// Len returns the number of entries.
func (h ageHeap) Len() int { return len(h) }

// Less reports whether entry i is promoted before entry j.
func (h ageHeap) Less(i, j int) bool {
	if !h[i].ageAt.Equal(h[j].ageAt) {
		return h[i].ageAt.Before(h[j].ageAt)
	}
	return h[i].sequence < h[j].sequence
}

// Swap swaps entries i and j.
func (h ageHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].ageIndex, h[j].ageIndex = i, j
}

// Push appends a *waiting.
func (h *ageHeap) Push(x any) {
	w := x.(*waiting)
	w.ageIndex = len(*h)
	*h = append(*h, w)
}

// Pop removes and returns the last entry.
func (h *ageHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.ageIndex = -1
	return w
}
