// Package views stores what a node knows of backend servers: the views that owners
// publish, and the load that owners report with each reply.
//
// # Usage
//
//	s := views.New()
//	s.Put(v)                     // from gossip
//	s.UpdateLoad("gpu-1", load)  // from a reply
//	for _, v := range s.All() {} // shared slice, must not be modified
package views

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"guavapaddle/core/forward"
	"guavapaddle/core/view"
)

// Store stores the newest view of each server. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	views   map[string]view.Server
	loads   map[string]forward.Load // load reported since the last view
	leaving map[string]bool         // reported by sources other than the owner
	all     []view.Server           // cache, nil if stale
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		views:   map[string]view.Server{},
		loads:   map[string]forward.Load{},
		leaving: map[string]bool{},
		changed: make(chan struct{}),
	}
}

// Put stores a view if it is newer than the stored one. It reports whether it was
// stored.
func (s *Store) Put(v view.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.views[v.Server]; ok && !v.Newer(old) {
		return false
	}
	s.views[v.Server] = v
	delete(s.loads, v.Server)
	s.changedLocked()
	return true
}

// Retain removes the views of servers that are not declared.
func (s *Store) Retain(declared func(server string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.views {
		if !declared(name) {
			delete(s.views, name)
			s.changedLocked()
		}
	}
}

// SetLeaving sets the names of all servers that are reported as leaving by a source
// other than their owner, such as the VM list.
func (s *Store) SetLeaving(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leaving := make(map[string]bool, len(names))
	for _, n := range names {
		leaving[n] = true
	}
	if !maps.Equal(s.leaving, leaving) {
		s.leaving = leaving
		s.changedLocked()
	}
}

// Leaving reports whether any source reports a server as leaving.
func (s *Store) Leaving(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving[server] || s.views[server].Leaving
}

// UpdateLoad stores the load of a server that its owner reported with a reply. It does
// not count as a change.
func (s *Store) UpdateLoad(server string, l forward.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads[server] = l
	s.all = nil
}

// All returns the views with the latest load, ordered by name. The slice is shared
// and must not be modified.
func (s *Store) All() []view.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all != nil {
		return s.all
	}
	all := make([]view.Server, 0, len(s.views))
	for name, v := range s.views {
		if l, ok := s.loads[name]; ok {
			v.Running, v.Queued, v.WaitMS = l.Running, l.Queued, l.WaitMS
		}
		v.Leaving = v.Leaving || s.leaving[name]
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b view.Server) int { return strings.Compare(a.Server, b.Server) })
	s.all = all
	return all
}

// Len returns the number of stored views.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.views)
}

// Get returns the stored view of a server, without later load reports.
func (s *Store) Get(server string) (view.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.views[server]
	return v, ok
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// changedLocked drops the cache and signals a change. The caller holds s.mu.
func (s *Store) changedLocked() {
	s.all = nil
	close(s.changed)
	s.changed = make(chan struct{})
}
