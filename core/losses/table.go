package losses

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// event is the event of the lines that count.
	event = "request"
	// Served is the reason of a request that was answered.
	Served = "served"
)

type (
	// Reason is how many requests on a route ended for one reason.
	Reason struct {
		Route  string `json:"route"`
		Reason string `json:"reason"`
		Count  int    `json:"count"`
	}

	// Window is how the requests that ended within a time did.
	Window struct {
		From    time.Time      `json:"from"`
		Reasons map[string]int `json:"reasons"`
	}

	// Table counts requests. The zero value counts in windows of a second.
	Table struct {
		Every time.Duration // length of a window, zero for a second

		reasons map[Reason]int // with a count of zero
		windows map[time.Time]map[string]int
	}
)

// Add counts the request that a line tells of, and returns false if it tells of none.
func (t *Table) Add(line string) bool {
	pairs := read(line)
	at, err := time.Parse(time.RFC3339Nano, pairs["time"])
	if pairs["event"] != event || err != nil || pairs["reason"] == "" {
		return false
	}
	if t.reasons == nil {
		t.reasons, t.windows = map[Reason]int{}, map[time.Time]map[string]int{}
	}
	t.reasons[Reason{Route: pairs["route"], Reason: pairs["reason"]}]++
	from := at.Truncate(cmp.Or(t.Every, time.Second))
	if t.windows[from] == nil {
		t.windows[from] = map[string]int{}
	}
	t.windows[from][pairs["reason"]]++
	return true
}

// read returns the pairs of a line, without those behind what can't be read.
func read(line string) map[string]string {
	pairs := map[string]string{}
	d := logfmt.NewDecoder(strings.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			pairs[string(d.Key())] = string(d.Value())
		}
	}
	return pairs
}

// Reasons returns the counts by route and reason, the most first.
func (t *Table) Reasons() []Reason {
	out := make([]Reason, 0, len(t.reasons))
	for r, n := range t.reasons {
		r.Count = n
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Reason) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), strings.Compare(a.Route, b.Route), strings.Compare(a.Reason, b.Reason))
	})
	return out
}

// Windows returns the counts by the time at which requests ended, the earliest first.
func (t *Table) Windows() []Window {
	out := make([]Window, 0, len(t.windows))
	for from, reasons := range t.windows {
		out = append(out, Window{from, reasons})
	}
	slices.SortFunc(out, func(a, b Window) int { return a.From.Compare(b.From) })
	return out
}
