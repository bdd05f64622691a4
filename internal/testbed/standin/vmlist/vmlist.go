// Package vmlist is a stand-in for the platform's list of VMs, in which changes
// appear after a lag.
//
// # Usage
//
//	l := &vmlist.List{Lag: 2 * time.Second}
//	address, err := l.Start()
//	defer l.Close()
//	l.Set(iovmlist.VM{Name: "vm-1", Address: "127.0.0.1:9000", Role: iovmlist.Node, State: iovmlist.Live})
package vmlist

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"guavapaddle/internal/testbed/standin/fault"
	iovmlist "guavapaddle/io/vmlist"
)

type (
	// List is a stand-in for the VM list. The exported fields must be set before
	// Start or Handler.
	List struct {
		Listen string        // IP:port; a free port of 127.0.0.1 if empty
		Lag    time.Duration // delay until a change is listed
		Faults fault.Set

		mu      sync.Mutex
		vms     map[string]iovmlist.VM
		pending []change
	}

	// change is an update of one entry that is listed from the time at.
	change struct {
		at time.Time
		vm iovmlist.VM
	}
)

// Start starts the server and returns its address.
func (l *List) Start() (string, error) {
	mux := http.NewServeMux()
	mux.Handle("/vms/v1/", l.Handler())
	return l.Faults.Serve(l.Listen, mux)
}

// Close stops the server. The entries are kept, and Start may be called again.
func (l *List) Close() { l.Faults.Server.Close() }

// Handler returns the HTTP handler of the list, with its faults applied.
func (l *List) Handler() http.Handler {
	if l.Faults.Counters == nil {
		l.Faults.Counters = &fault.Counters{}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+iovmlist.ListPath, func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, http.StatusOK, iovmlist.List{VMs: l.listed(time.Now())})
	})
	mux.HandleFunc("POST "+iovmlist.SetPath, func(w http.ResponseWriter, r *http.Request) {
		var in iovmlist.Set
		if fault.ReadJSON(w, r, &in) {
			l.Set(in.VM)
			fault.WriteJSON(w, http.StatusOK, struct{}{})
		}
	})
	return l.Faults.Wrap(mux)
}

// Set updates one entry. The change is listed after the lag.
func (l *List) Set(vm iovmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, change{at: time.Now().Add(l.Lag), vm: vm})
}

// listed applies the changes that are due at now and returns the entries, sorted by
// name.
func (l *List) listed(now time.Time) []iovmlist.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.vms == nil {
		l.vms = map[string]iovmlist.VM{}
	}
	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		vm := l.pending[0].vm
		l.pending = l.pending[1:]
		if vm.State == iovmlist.Gone {
			delete(l.vms, vm.Name)
			continue
		}
		l.vms[vm.Name] = vm
	}
	out := make([]iovmlist.VM, 0, len(l.vms))
	for _, name := range slices.Sorted(maps.Keys(l.vms)) {
		out = append(out, l.vms[name])
	}
	return out
}
