// Package platform serves the stand-ins for the table service, the object store,
// the weight store and the VM list on one address.
//
// POST /fault sets the faults of all four stand-ins. POST /fault/NAME sets those of
// one, where NAME is table, object, weights or vms. GET /counters returns all
// counters.
//
// # Usage
//
//	p := &platform.Platform{}
//	address, err := p.Start()
//	defer p.Close()
//	p.Table.Faults.SetFaults(fault.Faults{Down: true})
package platform

import (
	"net/http"

	"guavapaddle/internal/testbed/standin/fault"
	"guavapaddle/internal/testbed/standin/object"
	"guavapaddle/internal/testbed/standin/table"
	"guavapaddle/internal/testbed/standin/vmlist"
	"guavapaddle/internal/testbed/standin/weights"
)

// Platform combines the stand-ins of the platform's services. The exported fields
// must be set before Start. Platform listens on its own Listen address; those of the
// stand-ins are not used.
type Platform struct {
	Listen   string // IP:port; a free port of 127.0.0.1 if empty
	Table    table.Table
	Objects  object.Store
	Weights  weights.Store
	VMs      vmlist.List
	Counters fault.Counters

	server *fault.Server
}

// Start starts the server and returns its address.
func (p *Platform) Start() (string, error) {
	mux := http.NewServeMux()
	p.server = &fault.Server{Listen: p.Listen, Handler: mux}
	faultSets := p.faultSets()
	for name, set := range faultSets {
		set.Counters, set.Server = &p.Counters, p.server
		mux.HandleFunc("POST /fault/"+name, set.ServeFault)
	}
	mux.Handle("/table/v1/", p.Table.Handler())
	mux.Handle("/object/v1/", p.Objects.Handler())
	mux.Handle("/weights/v1/", p.Weights.Handler())
	mux.Handle("/vms/v1/", p.VMs.Handler())
	mux.Handle("GET /counters", &p.Counters)
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		fault.ExemptConn(r)
		var f fault.Faults
		if fault.ReadJSON(w, r, &f) {
			p.SetFaults(f)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	return p.server.Start()
}

// SetFaults replaces the active faults of all stand-ins.
func (p *Platform) SetFaults(f fault.Faults) {
	for _, set := range p.faultSets() {
		set.SetFaults(f)
	}
}

// Close stops the server. Stored data is kept, and Start may be called again.
func (p *Platform) Close() {
	p.server.Close()
	p.Weights.Stop()
}

// faultSets returns the faults of each stand-in by name.
func (p *Platform) faultSets() map[string]*fault.Set {
	return map[string]*fault.Set{
		"table": &p.Table.Faults, "object": &p.Objects.Faults,
		"weights": &p.Weights.Faults, "vms": &p.VMs.Faults,
	}
}
