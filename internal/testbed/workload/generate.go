package workload

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	defaultBurstFactor = 10.0
	defaultOn          = 5 * time.Second
	defaultOff         = 20 * time.Second
	defaultPrefixes    = 4
	popularityExponent = 0.9
	teamExponent       = 1.1
	prefixExponent     = 1.0
	prefixBytes        = 1024
	tailBytes          = 96
	bytesPerToken      = 4
	teamsOfItem        = 3
	adapterPart        = 0.5 // of the requests that name an adapter
	lengthSpread       = 0.5 // answers are between this part less and more than their mean
	maxTokens          = 4096
)

type (
	// Settings sets up the load. The zero value of a field stands for its
	// default; Deployment and Duration have none.
	Settings struct {
		Deployment  Deployment
		Load        float64       // mean work as a part of the capacity, default 0.8
		Duration    time.Duration // of the arrivals
		BurstFactor float64       // rate of an item that is on over one that is off, default 10
		On          time.Duration // mean turn on, default 5 s
		Off         time.Duration // mean turn off, default 20 s
		Prefixes    int           // shared prefixes an item, default 4
		Shift       time.Duration // when popularity moves to other items, zero for never
	}

	// Arrival is a request that arrives.
	Arrival struct {
		At     time.Duration // since the start
		Model  string        // name of the model or adapter asked for
		Team   string
		Mix    Mix // kind of work, with its deadline
		Tokens int // of the answer
		Prefix int // which shared prefix
		Number int // place in the arrivals
	}

	// turn is a time in which an item's rate doesn't change.
	turn struct {
		from, to time.Duration
		rate     float64 // before scaling
	}

	// item is a model or an adapter with its turns.
	item struct {
		name  string
		teams []int
		turns []turn
	}
)

func (s Settings) withDefaults() Settings {
	s.Load = cmp.Or(s.Load, 0.8)
	s.BurstFactor = cmp.Or(s.BurstFactor, defaultBurstFactor)
	s.On = cmp.Or(s.On, defaultOn)
	s.Off = cmp.Or(s.Off, defaultOff)
	s.Prefixes = cmp.Or(s.Prefixes, defaultPrefixes)
	return s
}

// Generate returns the arrivals in the order of their time.
func Generate(s Settings, seed uint64) []Arrival {
	s = s.withDefaults()
	random := rand.New(rand.NewPCG(seed, 0x6775617661))
	items := s.items(random)
	scale := s.scale(items)
	var out []Arrival
	kinds := distuv.NewCategorical(s.kindShares(), random)
	prefixes := distuv.NewCategorical(zipfs(s.Prefixes, prefixExponent), random)
	for i := range items {
		it := &items[i]
		weights := make([]float64, len(it.teams))
		for k, c := range it.teams {
			weights[k] = zipf(c, teamExponent)
		}
		teams := distuv.NewCategorical(weights, random)
		for _, at := range it.arrivals(scale, random) {
			mix := s.Deployment.Mixes[int(kinds.Rand())]
			out = append(out, Arrival{
				At: at, Model: it.name, Team: s.Deployment.TeamName(it.teams[int(teams.Rand())]),
				Mix: mix, Tokens: length(mix.Tokens, random), Prefix: int(prefixes.Rand()),
			})
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range out {
		out[i].Number = i
	}
	return out
}

// Prompt returns the prompt: the shared prefix, then a part of its own.
func (a Arrival) Prompt() string {
	head := fmt.Sprintf("%s prefix %d. ", a.Model, a.Prefix)
	prefix := strings.Repeat(head, prefixBytes/len(head)+1)[:prefixBytes]
	tail := fmt.Sprintf(" request %d of %s ", a.Number, a.Team)
	return prefix + (tail + strings.Repeat(".", tailBytes))[:tailBytes]
}

// items draws each item's popularity, teams and turns.
func (s Settings) items(random *rand.Rand) []item {
	d := s.Deployment
	out := append(s.group(d.Models, d.ModelName, 1-adapterPart, random), s.group(d.Adapters, d.AdapterName, adapterPart, random)...)
	return out
}

// group draws n items that together have the given part of the requests.
func (s Settings) group(n int, name func(int) string, part float64, random *rand.Rand) []item {
	weights := zipfs(n, popularityExponent)
	before, after := random.Perm(n), random.Perm(n)
	out := make([]item, n)
	for i := range out {
		out[i] = item{name: name(i), teams: s.teams(random)}
		out[i].turns = s.turns(part*weights[before[i]], part*weights[after[i]], random)
	}
	return out
}

// teams draws who asks for an item, large teams more often.
func (s Settings) teams(random *rand.Rand) []int {
	draw := distuv.NewCategorical(zipfs(s.Deployment.Teams, teamExponent), random)
	var out []int
	for range teamsOfItem {
		if c := int(draw.Rand()); !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// turns draws when an item is on and off, with its rate before and after the
// shift.
func (s Settings) turns(before, after float64, random *rand.Rand) []turn {
	var out []turn
	on := random.Float64() < s.On.Seconds()/(s.On+s.Off).Seconds()
	for at := time.Duration(0); at < s.Duration; on = !on {
		mean, factor := s.Off, 1.0
		if on {
			mean, factor = s.On, s.BurstFactor
		}
		to := min(s.Duration, at+time.Duration(random.ExpFloat64()*float64(mean))+time.Millisecond)
		if s.Shift > at && s.Shift < to {
			out = append(out, turn{at, s.Shift, before * factor})
			at = s.Shift
		}
		rate := before
		if s.Shift > 0 && at >= s.Shift {
			rate = after
		}
		out = append(out, turn{at, to, rate * factor})
		at = to
	}
	return out
}

// scale returns the requests a second that a rate of one stands for.
func (s Settings) scale(items []item) float64 {
	var work float64
	for _, it := range items {
		for _, t := range it.turns {
			work += t.rate * (t.to - t.from).Seconds()
		}
	}
	if work == 0 {
		return 0
	}
	return s.Load * s.Deployment.Capacity() * s.Duration.Seconds() / work
}

// arrivals draws the times at which an item is asked for.
func (it *item) arrivals(scale float64, random *rand.Rand) []time.Duration {
	var out []time.Duration
	for _, t := range it.turns {
		rate := t.rate * scale
		if rate <= 0 {
			continue
		}
		for at := t.from; ; {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= t.to {
				break
			}
			out = append(out, at)
		}
	}
	return out
}

func (s Settings) kindShares() []float64 {
	out := make([]float64, len(s.Deployment.Mixes))
	for i, m := range s.Deployment.Mixes {
		out[i] = m.Share
	}
	return out
}

// length draws the length of an answer.
func length(mean int, random *rand.Rand) int {
	n := float64(mean) * (1 - lengthSpread + 2*lengthSpread*random.Float64())
	return min(max(1, int(n)), maxTokens)
}

// zipf returns the weight of the i-th of a Zipf distribution, i from zero.
func zipf(i int, exponent float64) float64 { return math.Pow(float64(i+1), -exponent) }

// zipfs returns the first n weights, normalized to a sum of one.
func zipfs(n int, exponent float64) []float64 {
	out := make([]float64, n)
	var sum float64
	for i := range out {
		out[i] = zipf(i, exponent)
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}
