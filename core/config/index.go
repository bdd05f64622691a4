package config

import (
	"slices"
	"strings"

	"guavapaddle/core/apikey"
	"guavapaddle/core/backend"
)

const (
	// AnyName in a team's list allows all models and adapters.
	AnyName = "*"
	// AnyMethod in a call matches every method.
	AnyMethod = "*"
	// KeyHashPrefix begins each key hash of a document.
	KeyHashPrefix = "sha256:"
)

type (
	// Index answers the questions of the request path about one version of the
	// document. It is built once and never changes; it may be shared.
	Index struct {
		doc       *Document
		version   uint64
		hash      string
		keys      apikey.Index[Team]
		teams     map[string]access
		items     map[string]backend.Item
		kinds     map[string]Kind
		services  []PlainService // longest path first
		byService map[string]PlainService
		servers   map[string]BackendServer
	}

	access struct {
		all      bool // any model or adapter
		names    map[string]bool
		services map[string]bool
		kinds    map[string]bool
	}
)

// NewIndex returns an index of doc, which was accepted as the given version.
// doc must come from Parse and may not be changed afterwards.
func NewIndex(doc *Document, version uint64) *Index {
	x := &Index{
		doc:       doc,
		version:   version,
		hash:      doc.Hash(),
		teams:     make(map[string]access, len(doc.Teams)),
		items:     make(map[string]backend.Item, len(doc.Models)+len(doc.Adapters)),
		kinds:     make(map[string]Kind, len(doc.Kinds)),
		byService: make(map[string]PlainService, len(doc.Services)),
		servers:   make(map[string]BackendServer, len(doc.Servers)),
	}
	for _, c := range doc.Teams {
		x.addTeam(c)
	}
	for _, m := range doc.Models {
		x.items[m.Name] = m.Item()
	}
	for _, a := range doc.Adapters {
		x.items[a.Name] = a.Item()
	}
	for _, k := range doc.Kinds {
		x.kinds[k.Name] = k
	}
	for _, s := range doc.Services {
		x.byService[s.Name] = s
	}
	for _, s := range doc.Servers {
		x.servers[s.Name] = s
	}
	x.services = slices.Clone(doc.Services)
	slices.SortStableFunc(x.services, func(a, b PlainService) int { return len(b.Path) - len(a.Path) })
	return x
}

func (x *Index) addTeam(c Team) {
	x.teams[c.Name] = access{
		all:      slices.Contains(c.Models, AnyName),
		names:    set(c.Models),
		services: set(c.Services),
		kinds:    set(c.Kinds),
	}
	for _, h := range c.KeyHashes {
		if d, ok := apikey.Parse(strings.TrimPrefix(h, KeyHashPrefix)); ok {
			x.keys.Add(d, c)
		}
	}
}

func set(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// Version returns the version of the document.
func (x *Index) Version() uint64 { return x.version }

// Hash returns the hash of the document, as Document.Hash does.
func (x *Index) Hash() string { return x.hash }

// Document returns the document, which may not be changed.
func (x *Index) Document() *Document { return x.doc }

// TeamByKey returns the team whose key is bearer. Digests are compared
// in constant time.
func (x *Index) TeamByKey(bearer string) (Team, bool) {
	return x.keys.Find(apikey.Sum(bearer))
}

// Allowed tells whether the named team may call the named model or
// adapter, which must be declared.
func (x *Index) Allowed(team, name string) bool {
	a, ok := x.teams[team]
	if _, declared := x.items[name]; !ok || !declared {
		return false
	}
	return a.all || a.names[name]
}

// AllowedService tells whether the named team may call the named service.
func (x *Index) AllowedService(team, service string) bool {
	return x.teams[team].services[service]
}

// AllowedKind tells whether the named team may ask for the named kind.
func (x *Index) AllowedKind(team, kind string) bool {
	return x.teams[team].kinds[kind]
}

// Resolve returns the item that serves calls of a model's or adapter's name.
func (x *Index) Resolve(name string) (backend.Item, bool) {
	i, ok := x.items[name]
	return i, ok
}

// Kind returns the named kind of work.
func (x *Index) Kind(name string) (Kind, bool) {
	k, ok := x.kinds[name]
	return k, ok
}

// Service returns the plain service with the longest path that path begins
// with.
func (x *Index) Service(path string) (PlainService, bool) {
	for _, s := range x.services {
		if strings.HasPrefix(path, s.Path) {
			return s, true
		}
	}
	return PlainService{}, false
}

// CallKind returns the kind of a call of the named service: that of the first
// declared call that matches. path is the request's whole path. A declared
// path matches itself and all below it: "confirm" matches "confirm" and
// "confirm/7", not "confirmed".
func (x *Index) CallKind(service, method, path string) (Kind, bool) {
	s, ok := x.byService[service]
	if !ok || !strings.HasPrefix(path, s.Path) {
		return Kind{}, false
	}
	rest := path[len(s.Path):]
	for _, c := range s.Calls {
		if (c.Method == AnyMethod || c.Method == method) && below(rest, c.Path) {
			return x.Kind(c.Kind)
		}
	}
	return Kind{}, false
}

// below tells whether path is prefix or lies below it.
func below(path, prefix string) bool {
	if prefix == "" || path == prefix {
		return true
	}
	return strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/")
}

// Server returns the named backend server.
func (x *Index) Server(name string) (BackendServer, bool) {
	s, ok := x.servers[name]
	return s, ok
}

// Servers returns all backend servers in the document's order.
func (x *Index) Servers() []BackendServer { return slices.Clone(x.doc.Servers) }

// Items returns all items, models before adapters, in the document's order.
func (x *Index) Items() []backend.Item {
	items := make([]backend.Item, 0, len(x.items))
	for _, m := range x.doc.Models {
		items = append(items, m.Item())
	}
	for _, a := range x.doc.Adapters {
		items = append(items, a.Item())
	}
	return items
}

// Limits returns the limits.
func (x *Index) Limits() Limits { return x.doc.Limits }

// Placement returns how copies are placed.
func (x *Index) Placement() Placement { return x.doc.Placement }
