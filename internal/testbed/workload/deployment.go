package workload

import (
	"fmt"
	"time"

	"guavapaddle/core/config"
)

const gigabyte = int64(1) << 30

type (
	// Mix is a kind of requests with its share of all requests and its output length.
	Mix struct {
		config.Kind
		Share  float64 // fraction of all requests
		Tokens int     // mean output length
	}

	// Deployment describes the systems of an operator and their load. Durations are
	// those of the engines unless stated otherwise.
	Deployment struct {
		Name        string
		Engines     int
		Models      int
		Adapters    int
		Teams       int
		DataCentres int
		Delay       time.Duration // one-way delay between data centres
		ClientDelay time.Duration // one-way delay between clients and nodes

		Slots     int
		Step      time.Duration // step duration of a batch of one
		StepSlope time.Duration // additional step duration for each further request in the batch
		Prefill   time.Duration // prefill duration per prompt token that is not cached
		ReportLag time.Duration // age of the load reports

		ColdStart      time.Duration // duration of loading the largest model at full speed
		LoadsPerSecond float64       // maximum load starts per second at the weight store
		FullSpeed      int           // concurrent loads at full speed

		MemoryBytes    int64 // per engine
		KVReserveBytes int64 // per engine
		ModelBytes     int64 // size of the largest model; the smallest is half as large
		AdapterBytes   int64

		Mixes     []Mix
		Placement config.Placement
	}
)

// Corella returns the booking platform at its present size: 12 drafting workers in
// four data centres, about 20 models and 80 adapters. Slots, memory, kinds and report
// lag are assumptions; the other values are those of the requirements.
func Corella() Deployment {
	return Deployment{
		Name: "corella", Engines: 12, Models: 20, Adapters: 80, Teams: 40,
		DataCentres: 4, Delay: 500 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		Slots: 8, Step: 7 * time.Millisecond, StepSlope: 300 * time.Microsecond,
		Prefill: 100 * time.Microsecond, ReportLag: 500 * time.Millisecond,
		ColdStart: 4 * time.Second, LoadsPerSecond: 2, FullSpeed: 7,
		MemoryBytes: 64 * gigabyte, KVReserveBytes: 20 * gigabyte, ModelBytes: 14 * gigabyte, AdapterBytes: gigabyte / 4,
		Mixes: []Mix{
			{config.Kind{Name: "live-desk", Urgency: config.Urgent, Value: 10, DeadlineMS: 2500, Repeatable: true}, 0.45, 80},
			{config.Kind{Name: "conflict-summary", Urgency: config.Normal, Value: 4, DeadlineMS: 5000, Repeatable: true}, 0.35, 100},
			{config.Kind{Name: "batch-draft", Urgency: config.Deferrable, Value: 1, DeadlineMS: 20000, Repeatable: true}, 0.2, 180},
		},
		Placement: config.Placement{MovePrice: 5, MinResidenceMS: 10000, PeriodMS: 1000},
	}
}

// Kabinaki returns the records platform at its present size: 20 assistant workers in
// three data centres, about 30 models and 110 adapters. Slots, memory, kinds and
// report lag are assumptions; the other values are those of the requirements.
func Kabinaki() Deployment {
	return Deployment{
		Name: "kabinaki", Engines: 20, Models: 30, Adapters: 110, Teams: 60,
		DataCentres: 3, Delay: 1500 * time.Microsecond, ClientDelay: time.Millisecond,
		Slots: 8, Step: 9 * time.Millisecond, StepSlope: 300 * time.Microsecond,
		Prefill: 100 * time.Microsecond, ReportLag: 500 * time.Millisecond,
		ColdStart: 9 * time.Second, LoadsPerSecond: 2, FullSpeed: 17,
		MemoryBytes: 64 * gigabyte, KVReserveBytes: 20 * gigabyte, ModelBytes: 18 * gigabyte, AdapterBytes: gigabyte / 4,
		Mixes: []Mix{
			{config.Kind{Name: "debrief-summary", Urgency: config.Urgent, Value: 10, DeadlineMS: 3000, Repeatable: true}, 0.35, 90},
			{config.Kind{Name: "validity-question", Urgency: config.Urgent, Value: 8, DeadlineMS: 1500, Repeatable: true}, 0.25, 30},
			{config.Kind{Name: "course-summary", Urgency: config.Normal, Value: 4, DeadlineMS: 6000, Repeatable: true}, 0.2, 100},
			{config.Kind{Name: "audit-digest", Urgency: config.Deferrable, Value: 1, DeadlineMS: 25000, Repeatable: true}, 0.2, 180},
		},
		Placement: config.Placement{MovePrice: 30, MinResidenceMS: 20000, PeriodMS: 1000},
	}
}

// Scaled returns d with the numbers of engines, models, adapters and teams multiplied
// by f. Numbers that are not zero stay at least one.
func (d Deployment) Scaled(f float64) Deployment {
	scale := func(n int) int {
		if n == 0 {
			return 0
		}
		return max(1, int(float64(n)*f+0.5))
	}
	d.Engines, d.Models = scale(d.Engines), scale(d.Models)
	d.Adapters, d.Teams = scale(d.Adapters), scale(d.Teams)
	return d
}

// FullStep returns the duration of a step with a full batch.
func (d Deployment) FullStep() time.Duration {
	return d.Step + time.Duration(max(0, d.Slots-1))*d.StepSlope
}

// ServiceTime returns the service time, in seconds, of a request with the given numbers of
// output tokens and uncached prompt tokens in a full batch.
func (d Deployment) ServiceTime(tokens, uncached int) float64 {
	return (time.Duration(tokens)*d.FullStep() + time.Duration(uncached)*d.Prefill).Seconds()
}

// Capacity returns the maximum throughput of the accelerators for the mix of the
// deployment, in requests per second. The shared prefixes of prompts count as cached.
func (d Deployment) Capacity() float64 {
	var seconds, shares float64
	for _, m := range d.Mixes {
		seconds += m.Share * d.ServiceTime(m.Tokens, tailBytes/bytesPerToken)
		shares += m.Share
	}
	if seconds == 0 {
		return 0
	}
	return float64(d.Engines*d.Slots) / (seconds / shares)
}

// ModelName returns the name of the i-th model.
func (d Deployment) ModelName(i int) string { return fmt.Sprintf("model-%02d", i) }

// AdapterName returns the name of the i-th adapter.
func (d Deployment) AdapterName(i int) string { return fmt.Sprintf("adapter-%03d", i) }

// TeamName returns the name of the i-th team.
func (d Deployment) TeamName(i int) string { return fmt.Sprintf("team-%02d", i) }

// EngineName returns the name of the i-th engine.
func (d Deployment) EngineName(i int) string { return fmt.Sprintf("engine-%02d", i) }

// DataCentre returns the data centre of the i-th engine or node.
func (d Deployment) DataCentre(i int) string { return fmt.Sprintf("dc-%d", i%d.DataCentres) }
