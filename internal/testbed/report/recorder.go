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
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
	bucket        = time.Second // of the series over time
)

type (
	// Request is what happened to one request.
	Request struct {
		At         time.Duration // intended send time since the start
		Kind       string
		Urgency    config.Urgency
		Team       string
		Value      float64
		Deadline   time.Duration // since At
		Bound      bool          // met in time by the bound
		Outcome    string
		Reason     string        // empty if done
		FirstToken time.Duration // since At, zero if there was none
		Total      time.Duration // since At, to the end
		Gaps       []time.Duration
		Whole      bool // the answer is the one expected, with its end
	}

	// Move is a load that an engine carried out.
	Move struct {
		At     time.Duration
		Server string
		Item   string
	}

	// Meta says what was run.
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
		SentLate     time.Duration `json:"sent-late-p99-ns"` // by the load tool itself
		CPUSeconds   float64       `json:"cpu-seconds"`      // of load tool and stand-ins

		NodeCPUSeconds float64 `json:"node-cpu-seconds"`  // of all nodes, start and stop included
		NodeMemory     int64   `json:"node-memory-bytes"` // largest resident set of a node
	}

	// Recorder collects requests and moves. It is safe for concurrent use.
	Recorder struct {
		mu       sync.Mutex
		requests []Request
		moves    []Move
	}

	// Quantiles are of times in milliseconds.
	Quantiles struct {
		P50 float64 `json:"p50-ms"`
		P95 float64 `json:"p95-ms"`
		P99 float64 `json:"p99-ms"`
	}

	// Kind sums up the requests of a kind, or of all.
	Kind struct {
		Name       string         `json:"name"`
		Offered    int            `json:"offered"`
		Done       int            `json:"done"`
		Met        int            `json:"met"`
		Bound      int            `json:"bound-met"`
		Wrong      int            `json:"wrong"` // done, but not the expected answer
		Attainment float64        `json:"attainment"`
		OfBound    float64        `json:"share-of-bound"`
		FirstToken Quantiles      `json:"first-token"`
		Between    Quantiles      `json:"between-tokens"`
		Total      Quantiles      `json:"total"`
		Refused    map[string]int `json:"refused"` // by outcome and reason
	}

	// Point is one second of a run.
	Point struct {
		Second  int `json:"second"`
		Offered int `json:"offered"`
		Met     int `json:"met"`
		Bound   int `json:"bound-met"`
		Moves   int `json:"moves"`
	}

	// Summary is the result of a run.
	Summary struct {
		Meta            Meta           `json:"meta"`
		Kinds           []Kind         `json:"kinds"`
		All             Kind           `json:"all"`
		Urgent          Kind           `json:"urgent"`
		ValueAttainment float64        `json:"value-attainment"`
		ValueOfBound    float64        `json:"value-share-of-bound"`
		PerAccelerator  float64        `json:"met-per-accelerator-second"`
		WorstTeam       float64        `json:"worst-team-attainment"` // with at least 10 requests
		Moves           int            `json:"moves"`
		Reasons         map[string]int `json:"reasons"`
		Series          []Point        `json:"series"`
	}

	// tally sums up requests.
	tally struct {
		Kind
		first, between, total *hdrhistogram.Histogram
	}
)

// Met tells whether the request ended whole before its deadline.
func (r *Request) Met() bool { return r.Outcome == "done" && r.Whole && r.Total <= r.Deadline }

// Add records a request.
func (r *Recorder) Add(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

// Moved records a move.
func (r *Recorder) Moved(m Move) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moves = append(r.moves, m)
}

// Summary sums up what was recorded.
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
		if q.Bound {
			bound += q.Value
		}
	}
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		s.Kinds = append(s.Kinds, kinds[name].sum())
	}
	s.All, s.Urgent = all.sum(), urgent.sum()
	s.ValueAttainment, s.ValueOfBound = ratio(met, value), ratio(met, bound)
	s.PerAccelerator = ratio(float64(s.All.Met), float64(m.Accelerators)*m.Duration.Seconds())
	s.WorstTeam = r.worstTeam()
	s.Series = r.series()
	return s
}

// worstTeam returns the least attainment of a team with at least ten
// requests.
func (r *Recorder) worstTeam() float64 {
	offered, met := map[string]int{}, map[string]int{}
	for i := range r.requests {
		offered[r.requests[i].Team]++
		if r.requests[i].Met() {
			met[r.requests[i].Team]++
		}
	}
	worst := 1.0
	for c, n := range offered {
		if n >= 10 {
			worst = min(worst, float64(met[c])/float64(n))
		}
	}
	return worst
}

// series returns the seconds of the run by the requests' intended send time.
func (r *Recorder) series() []Point {
	points := map[int]*Point{}
	at := func(d time.Duration) *Point {
		second := int(d / bucket)
		if points[second] == nil {
			points[second] = &Point{Second: second}
		}
		return points[second]
	}
	for i := range r.requests {
		q := &r.requests[i]
		p := at(q.At)
		p.Offered++
		if q.Met() {
			p.Met++
		}
		if q.Bound {
			p.Bound++
		}
	}
	for _, m := range r.moves {
		at(m.At).Moves++
	}
	out := make([]Point, 0, len(points))
	for _, p := range points {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b Point) int { return cmp.Compare(a.Second, b.Second) })
	return out
}

func newTally(name string) *tally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestMicros, highestMicros, digits) }
	return &tally{Kind: Kind{Name: name, Refused: map[string]int{}}, first: h(), between: h(), total: h()}
}

func (t *tally) add(q *Request) {
	t.Offered++
	if q.Bound {
		t.Bound++
	}
	if q.Met() {
		t.Met++
	}
	if q.FirstToken > 0 {
		record(t.first, q.FirstToken)
	}
	for _, g := range q.Gaps {
		record(t.between, g)
	}
	if q.Outcome != "done" {
		t.Refused[q.Outcome+"/"+q.Reason]++
		return
	}
	t.Done++
	record(t.total, q.Total)
	if !q.Whole {
		t.Wrong++
	}
}

func (t *tally) sum() Kind {
	k := t.Kind
	k.Attainment = ratio(float64(k.Met), float64(k.Offered))
	k.OfBound = ratio(float64(k.Met), float64(k.Bound))
	k.FirstToken, k.Between, k.Total = quantiles(t.first), quantiles(t.between), quantiles(t.total)
	return k
}

// record enters a time; one beyond the histogram's range counts as the highest.
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
