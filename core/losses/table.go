package losses

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// requestEvent is the event name of the log lines that are counted.
	requestEvent = "request"
	// Served is the reason logged for a request that was answered.
	Served = "served"
)

type (
	// Reason is the number of requests on a route that ended for one reason.
	Reason struct {
		Route  string `json:"route"`
		Reason string `json:"reason"`
		Count  int    `json:"count"`
	}

	// Window holds the number of requests that ended within a period, by reason.
	Window struct {
		From    time.Time      `json:"from"`
		Reasons map[string]int `json:"reasons"`
	}

	// Table counts requests. The zero value counts in windows of one second.
	Table struct {
		Interval time.Duration // length of a window; zero means one second

		reasons map[Reason]int // keyed by Reason with Count zero
		windows map[time.Time]map[string]int
	}
)

// Add counts the request that a log line describes, and reports whether the line describes
// one.
func (t *Table) Add(line string) bool {
	pairs := parsePairs(line)
	at, err := time.Parse(time.RFC3339Nano, pairs["time"])
	if pairs["event"] != requestEvent || err != nil || pairs["reason"] == "" {
		return false
	}
	if t.reasons == nil {
		t.reasons, t.windows = map[Reason]int{}, map[time.Time]map[string]int{}
	}
	t.reasons[Reason{Route: pairs["route"], Reason: pairs["reason"]}]++
	from := at.Truncate(cmp.Or(t.Interval, time.Second))
	if t.windows[from] == nil {
		t.windows[from] = map[string]int{}
	}
	t.windows[from][pairs["reason"]]++
	return true
}

// parsePairs returns the key-value pairs of a line up to the first syntax error.
func parsePairs(line string) map[string]string {
	pairs := map[string]string{}
	d := logfmt.NewDecoder(strings.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			pairs[string(d.Key())] = string(d.Value())
		}
	}
	return pairs
}

// Reasons returns the counts by route and reason, in descending order.
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

// Windows returns the counts by window, in ascending order of time.
func (t *Table) Windows() []Window {
	out := make([]Window, 0, len(t.windows))
	for from, reasons := range t.windows {
		out = append(out, Window{from, reasons})
	}
	slices.SortFunc(out, func(a, b Window) int { return a.From.Compare(b.From) })
	return out
}
