package planner

import (
	"sync"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/view"
)

const (
	demandHalfLife    = 5 * time.Second // of a demand estimate
	minRate           = 1e-3            // requests per second below which an item's estimate is dropped
	serviceTimeWeight = 8               // a new service time has a weight of 1/8 in the moving average
)

type (
	// Demand estimates the demand of this node's callers. It is safe for
	// concurrent use.
	Demand struct {
		mu    sync.Mutex
		names map[string]*estimate
	}

	estimate struct {
		count, urgent    int     // since the last report
		rate, urgentRate float64 // all and urgent requests per second
		seconds          float64 // average service time
		waiting          int     // requests that wait for a copy
	}
)

// NewDemand returns a Demand without observations.
func NewDemand() *Demand { return &Demand{names: map[string]*estimate{}} }

func (d *Demand) estimateOf(name string) *estimate {
	a := d.names[name]
	if a == nil {
		a = &estimate{}
		d.names[name] = a
	}
	return a
}

// Requested implements entry.Demand.
func (d *Demand) Requested(name string, u config.Urgency) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.estimateOf(name)
	a.count++
	if u == config.Urgent {
		a.urgent++
	}
}

// ServiceTime implements entry.Demand.
func (d *Demand) ServiceTime(name string, seconds float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.estimateOf(name)
	if a.seconds == 0 {
		a.seconds = seconds
	}
	a.seconds += (seconds - a.seconds) / serviceTimeWeight
}

// AddWaiting adds change to the number of requests that wait for a copy of an item.
func (d *Demand) AddWaiting(i backend.Item, change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.estimateOf(i.Name).waiting += change
}

// report updates the estimates with the requests since the last report, which was
// period ago, and returns them.
func (d *Demand) report(period time.Duration) []view.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	decay := 1 - period.Seconds()/(period.Seconds()+demandHalfLife.Seconds())
	var out []view.Demand
	for name, a := range d.names {
		a.rate = decay*a.rate + (1-decay)*float64(a.count)/period.Seconds()
		a.urgentRate = decay*a.urgentRate + (1-decay)*float64(a.urgent)/period.Seconds()
		a.count, a.urgent = 0, 0
		if a.rate < minRate && a.waiting == 0 {
			delete(d.names, name)
			continue
		}
		out = append(out, view.Demand{Name: name, Rate: a.rate, Urgent: a.urgentRate, Seconds: a.seconds, Waiting: a.waiting})
	}
	return out
}
