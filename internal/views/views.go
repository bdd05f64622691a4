// Package views holds what a node knows of backend servers: the views that
// owners spread, and the load that they tell with each answer.
//
// # Usage
//
//	s := views.New()
//	s.Put(v)                     // from gossip
//	s.Heard("gpu-1", load)       // from an answer
//	for _, v := range s.All() {} // shared, not to be changed
package views

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"guavapaddle/core/forward"
	"guavapaddle/core/view"
)

// Store holds views. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	views   map[string]view.Server
	heard   map[string]forward.Load // since the last view
	leaving map[string]bool         // by other sources than the owner
	all     []view.Server           // cache, nil if stale
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		views:   map[string]view.Server{},
		heard:   map[string]forward.Load{},
		leaving: map[string]bool{},
		changed: make(chan struct{}),
	}
}

// Put takes a view in if it is newer and tells whether it was.
func (s *Store) Put(v view.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.views[v.Server]; ok && !v.Newer(old) {
		return false
	}
	s.views[v.Server] = v
	delete(s.heard, v.Server)
	s.touch()
	return true
}

// Keep forgets the views of servers that are not declared.
func (s *Store) Keep(declared func(server string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.views {
		if !declared(name) {
			delete(s.views, name)
			s.touch()
		}
	}
}

// SetLeaving tells the names of all servers that leave by another source than
// their owner, such as the VM list.
func (s *Store) SetLeaving(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leaving := make(map[string]bool, len(names))
	for _, n := range names {
		leaving[n] = true
	}
	if !maps.Equal(s.leaving, leaving) {
		s.leaving = leaving
		s.touch()
	}
}

// Leaving tells whether a server is known to leave by any source.
func (s *Store) Leaving(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving[server] || s.views[server].Leaving
}

// Heard notes the load of a server that its owner told with an answer. It does
// not count as a change.
func (s *Store) Heard(server string, l forward.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[server] = l
	s.all = nil
}

// All returns the views by name with the latest load. The slice is shared.
func (s *Store) All() []view.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all != nil {
		return s.all
	}
	all := make([]view.Server, 0, len(s.views))
	for name, v := range s.views {
		if l, ok := s.heard[name]; ok {
			v.Running, v.Queued, v.WaitMS = l.Running, l.Queued, l.WaitMS
		}
		v.Leaving = v.Leaving || s.leaving[name]
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b view.Server) int { return strings.Compare(a.Server, b.Server) })
	s.all = all
	return all
}

// Len returns how many servers are known.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.views)
}

// Get returns the view of a server.
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

// touch tells of a change. The lock is held.
func (s *Store) touch() {
	s.all = nil
	close(s.changed)
	s.changed = make(chan struct{})
}
