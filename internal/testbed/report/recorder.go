package report

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"guavapaddle/core/config"
)

const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	seriesInterval    = time.Second // resolution of the time series
)

type (
	// Request is the result of one request.
	Request struct {
		At         time.Duration // intended send time, since the start
		Kind       string
		Urgency    config.Urgency
		Team       string
		Value      float64
		Deadline   time.Duration // relative to At
		BoundMet   bool          // the bound meets its deadline
		Outcome    string
		Reason     string        // empty if the outcome is done
		FirstToken time.Duration // relative to At, zero if there was none
		Total      time.Duration // time to completion, relative to At
		TokenGaps  []time.Duration
		Complete   bool // the response is the expected one and was received to its end
	}

	// Move is a load of an item that an engine started.
	Move struct {
		At     time.Duration
		Server string
		Item   string
	}

	// Meta describes the settings and the resource usage of a run.
	Meta struct {
		Deployment   string        `json:"deployment"`
		Policy       string        `json:"policy"`
		Planner      string        `json:"planner"`
		Fault        string        `json:"fault"`
		Seed         uint64        `json:"seed"`
		Load         float64       `json:"load"`
		Duration     time.Duration `json:"duration-ns"`
		MovePrice    float64       `json:"move-price"`
		Limit        string        `json:"limit"`
		Nodes        int           `json:"nodes"`
		Accelerators int           `json:"accelerators"`
		SendDelay    time.Duration `json:"sent-late-p99-ns"` // delay of the load generator's own sends
		CPUSeconds   float64       `json:"cpu-seconds"`      // of the load generator and the stand-ins

		NodeCPUSeconds float64 `json:"node-cpu-seconds"`  // of all nodes, including start and stop
		NodeMemory     int64   `json:"node-memory-bytes"` // maximum resident set size of a node
	}

	// Recorder collects requests and moves. It is safe for concurrent use.
	Recorder struct {
		mu       sync.Mutex
		requests []Request
		moves    []Move
	}

	// Quantiles holds quantiles of durations, in milliseconds.
	Quantiles struct {
		P50 float64 `json:"p50-ms"`
		P95 float64 `json:"p95-ms"`
		P99 float64 `json:"p99-ms"`
	}

	// Kind summarizes the requests of one kind, or of all kinds.
	Kind struct {
		Name         string         `json:"name"`
		Offered      int            `json:"offered"`
		Done         int            `json:"done"`
		Met          int            `json:"met"`
		Bound        int            `json:"bound-met"`
		Wrong        int            `json:"wrong"` // done, but with another response than expected
		Attainment   float64        `json:"attainment"`
		ShareOfBound float64        `json:"share-of-bound"`
		FirstToken   Quantiles      `json:"first-token"`
		InterToken   Quantiles      `json:"between-tokens"`
		Total        Quantiles      `json:"total"`
		Refused      map[string]int `json:"refused"` // number of requests by outcome and reason
	}

	// Point counts the events in one second of a run.
	Point struct {
		Second  int `json:"second"`
		Offered int `json:"offered"`
		Met     int `json:"met"`
		Bound   int `json:"bound-met"`
		Moves   int `json:"moves"`
	}

	// Summary is the result of a run.
	Summary struct {
		Meta              Meta           `json:"meta"`
		Kinds             []Kind         `json:"kinds"`
		All               Kind           `json:"all"`
		Urgent            Kind           `json:"urgent"`
		ValueAttainment   float64        `json:"value-attainment"`
		ValueShareOfBound float64        `json:"value-share-of-bound"`
		PerAccelerator    float64        `json:"met-per-accelerator-second"`
		WorstTeam         float64        `json:"worst-team-attainment"` // lowest of the teams with at least 10 requests
		Moves             int            `json:"moves"`
		Reasons           map[string]int `json:"reasons"`
		Series            []Point        `json:"series"`
	}

	// tally accumulates the results of requests.
	tally struct {
		Kind
		firstToken, interToken, endToEnd *hdrhistogram.Histogram
	}
)

// Met reports whether the request was completed, with the whole response, before its
// deadline.
func (r *Request) Met() bool { return r.Outcome == "done" && r.Complete && r.Total <= r.Deadline }

// Add records the result of a request.
func (r *Recorder) Add(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

// AddMove records a move.
func (r *Recorder) AddMove(m Move) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moves = append(r.moves, m)
}

// Summary returns the summary of the recorded requests and moves.
func (r *Recorder) Summary(m Meta) *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Summary{Meta: m, Moves: len(r.moves), Reasons: map[string]int{}}
	all, urgent, kinds := newTally("all"), newTally("urgent"), map[string]*tally{}
	var value, met, bound float64
	for i := range r.requests {
		q := &r.requests[i]
		if kinds[q.Kind] == nil {
			kinds[q.Kind] = newTally(q.Kind)
		}
		kinds[q.Kind].add(q)
		all.add(q)
		if q.Urgency == config.Urgent {
			urgent.add(q)
		}
		if q.Reason != "" {
			s.Reasons[q.Outcome+"/"+q.Reason]++
		}
		value += q.Value
		if q.Met() {
			met += q.Value
		}
		if q.BoundMet {
			bound += q.Value
		}
	}
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		s.Kinds = append(s.Kinds, kinds[name].result())
	}
	s.All, s.Urgent = all.result(), urgent.result()
	s.ValueAttainment, s.ValueShareOfBound = ratio(met, value), ratio(met, bound)
	s.PerAccelerator = ratio(float64(s.All.Met), float64(m.Accelerators)*m.Duration.Seconds())
	s.WorstTeam = r.worstTeam()
	s.Series = r.series()
	return s
}

// worstTeam returns the lowest attainment of the teams with at least ten requests, and
// 1 if there are none.
func (r *Recorder) worstTeam() float64 {
	offered, met := map[string]int{}, map[string]int{}
	for i := range r.requests {
		offered[r.requests[i].Team]++
		if r.requests[i].Met() {
			met[r.requests[i].Team]++
		}
	}
	worst := 1.0
	for team, n := range offered {
		if n >= 10 {
			worst = min(worst, float64(met[team])/float64(n))
		}
	}
	return worst
}

// series returns the points of the run. Requests are counted at their intended send
// time.
func (r *Recorder) series() []Point {
	points := map[int]*Point{}
	pointAt := func(d time.Duration) *Point {
		second := int(d / seriesInterval)
		if points[second] == nil {
			points[second] = &Point{Second: second}
		}
		return points[second]
	}
	for i := range r.requests {
		q := &r.requests[i]
		p := pointAt(q.At)
		p.Offered++
		if q.Met() {
			p.Met++
		}
		if q.BoundMet {
			p.Bound++
		}
	}
	for _, m := range r.moves {
		pointAt(m.At).Moves++
	}
	out := make([]Point, 0, len(points))
	for _, p := range points {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b Point) int { return cmp.Compare(a.Second, b.Second) })
	return out
}

func newTally(name string) *tally {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	}
	return &tally{Kind: Kind{Name: name, Refused: map[string]int{}}, firstToken: h(), interToken: h(), endToEnd: h()}
}

func (t *tally) add(q *Request) {
	t.Offered++
	if q.BoundMet {
		t.Bound++
	}
	if q.Met() {
		t.Met++
	}
	if q.FirstToken > 0 {
		record(t.firstToken, q.FirstToken)
	}
	for _, g := range q.TokenGaps {
		record(t.interToken, g)
	}
	if q.Outcome != "done" {
		t.Refused[q.Outcome+"/"+q.Reason]++
		return
	}
	t.Done++
	record(t.endToEnd, q.Total)
	if !q.Complete {
		t.Wrong++
	}
}

func (t *tally) result() Kind {
	k := t.Kind
	k.Attainment = ratio(float64(k.Met), float64(k.Offered))
	k.ShareOfBound = ratio(float64(k.Met), float64(k.Bound))
	k.FirstToken, k.InterToken, k.Total = quantiles(t.firstToken), quantiles(t.interToken), quantiles(t.endToEnd)
	return k
}

// record adds a duration to a histogram. Durations outside its range are clamped.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
