package planner

import (
	"sync"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/view"
)

const (
	demandHalf = 5 * time.Second // half-life of a demand estimate
	leastRate  = 1e-3            // requests a second below which an item counts as unwanted
	tookWeight = 8               // one service time counts as one of so many
)

type (
	// Demand learns what callers of this node ask for. It is safe for
	// concurrent use.
	Demand struct {
		mu    sync.Mutex
		names map[string]*asked
	}

	asked struct {
		count, urgent int // since the last report
		rate, share   float64
		seconds       float64
		waiting       int
	}
)

// NewDemand returns a Demand that has learned nothing.
func NewDemand() *Demand { return &Demand{names: map[string]*asked{}} }

func (d *Demand) of(name string) *asked {
	a := d.names[name]
	if a == nil {
		a = &asked{}
		d.names[name] = a
	}
	return a
}

// Asked implements entry.Demand.
func (d *Demand) Asked(name string, u config.Urgency) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.of(name)
	a.count++
	if u == config.Urgent {
		a.urgent++
	}
}

// Took implements entry.Demand.
func (d *Demand) Took(name string, seconds float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.of(name)
	if a.seconds == 0 {
		a.seconds = seconds
	}
	a.seconds += (seconds - a.seconds) / tookWeight
}

// Wanted counts requests that wait for a copy of an item.
func (d *Demand) Wanted(i backend.Item, change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of(i.Name).waiting += change
}

// report returns the demand since the last report, which was period ago.
func (d *Demand) report(period time.Duration) []view.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	keep := 1 - period.Seconds()/(period.Seconds()+demandHalf.Seconds())
	var out []view.Demand
	for name, a := range d.names {
		a.rate = keep*a.rate + (1-keep)*float64(a.count)/period.Seconds()
		a.share = keep*a.share + (1-keep)*float64(a.urgent)/period.Seconds()
		a.count, a.urgent = 0, 0
		if a.rate < leastRate && a.waiting == 0 {
			delete(d.names, name)
			continue
		}
		out = append(out, view.Demand{Name: name, Rate: a.rate, Urgent: a.share, Seconds: a.seconds, Waiting: a.waiting})
	}
	return out
}
