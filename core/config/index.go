package config

import (
	"slices"
	"strings"

	"guavapaddle/core/apikey"
	"guavapaddle/core/backend"
)

const (
	// AnyName in a team's list of models allows all models and adapters.
	AnyName = "*"
	// AnyMethod in a call matches every method.
	AnyMethod = "*"
	// KeyHashPrefix is the prefix of each key hash in a document.
	KeyHashPrefix = "sha256:"
)

type (
	// Index provides the look-ups of the request path for one version of the
	// document. It is immutable and safe for concurrent use.
	Index struct {
		doc       *Document
		version   uint64
		hash      string
		keys      apikey.Index[Team]
		teams     map[string]teamAccess
		items     map[string]backend.Item
		kinds     map[string]Kind
		services  []PlainService // sorted by descending length of path
		byService map[string]PlainService
		servers   map[string]BackendServer
	}

	// teamAccess holds what a team may use.
	teamAccess struct {
		all      bool            // all models and adapters are allowed
		names    map[string]bool // allowed models and adapters
		services map[string]bool
		kinds    map[string]bool
	}
)

// NewIndex returns an index of doc, which was accepted as the given version.
// doc must have been returned by Parse and must not be changed afterwards.
func NewIndex(doc *Document, version uint64) *Index {
	x := &Index{
		doc:       doc,
		version:   version,
		hash:      doc.Hash(),
		teams:     make(map[string]teamAccess, len(doc.Teams)),
		items:     make(map[string]backend.Item, len(doc.Models)+len(doc.Adapters)),
		kinds:     make(map[string]Kind, len(doc.Kinds)),
		byService: make(map[string]PlainService, len(doc.Services)),
		servers:   make(map[string]BackendServer, len(doc.Servers)),
	}
	for _, t := range doc.Teams {
		x.addTeam(t)
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

// addTeam adds a team's permissions and keys to the index.
func (x *Index) addTeam(t Team) {
	x.teams[t.Name] = teamAccess{
		all:      slices.Contains(t.Models, AnyName),
		names:    nameSet(t.Models),
		services: nameSet(t.Services),
		kinds:    nameSet(t.Kinds),
	}
	for _, h := range t.KeyHashes {
		if d, ok := apikey.Parse(strings.TrimPrefix(h, KeyHashPrefix)); ok {
			x.keys.Add(d, t)
		}
	}
}

func nameSet(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// Version returns the version of the document.
func (x *Index) Version() uint64 { return x.version }

// Hash returns the document's hash, see Document.Hash.
func (x *Index) Hash() string { return x.hash }

// Document returns the document, which must not be changed.
func (x *Index) Document() *Document { return x.doc }

// TeamByKey returns the team with the API key bearer. Key digests are compared
// in constant time.
func (x *Index) TeamByKey(bearer string) (Team, bool) {
	return x.keys.Find(apikey.Sum(bearer))
}

// Allowed reports whether the named team may call the named model or adapter. It
// returns false for a name that is not declared.
func (x *Index) Allowed(team, name string) bool {
	a, ok := x.teams[team]
	if _, declared := x.items[name]; !ok || !declared {
		return false
	}
	return a.all || a.names[name]
}

// AllowedService reports whether the named team may call the named service.
func (x *Index) AllowedService(team, service string) bool {
	return x.teams[team].services[service]
}

// AllowedKind reports whether the named team may request the named kind.
func (x *Index) AllowedKind(team, kind string) bool {
	return x.teams[team].kinds[kind]
}

// Resolve returns the item that serves calls of the named model or adapter.
func (x *Index) Resolve(name string) (backend.Item, bool) {
	item, ok := x.items[name]
	return item, ok
}

// Kind returns the named kind of work.
func (x *Index) Kind(name string) (Kind, bool) {
	k, ok := x.kinds[name]
	return k, ok
}

// Service returns the plain service whose path is the longest prefix of path.
func (x *Index) Service(path string) (PlainService, bool) {
	for _, s := range x.services {
		if strings.HasPrefix(path, s.Path) {
			return s, true
		}
	}
	return PlainService{}, false
}

// CallKind returns the kind of a call of the named service, as given by the
// first declared call that matches. path is the full path of the request. A
// declared path matches itself and everything below it: "confirm" matches
// "confirm" and "confirm/7", but not "confirmed".
func (x *Index) CallKind(service, method, path string) (Kind, bool) {
	s, ok := x.byService[service]
	if !ok || !strings.HasPrefix(path, s.Path) {
		return Kind{}, false
	}
	subpath := path[len(s.Path):]
	for _, c := range s.Calls {
		if (c.Method == AnyMethod || c.Method == method) && hasPathPrefix(subpath, c.Path) {
			return x.Kind(c.Kind)
		}
	}
	return Kind{}, false
}

// hasPathPrefix reports whether path equals prefix or is below it.
func hasPathPrefix(path, prefix string) bool {
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

// Limits returns the limits of the document.
func (x *Index) Limits() Limits { return x.doc.Limits }

// Placement returns the placement parameters of the document.
func (x *Index) Placement() Placement { return x.doc.Placement }
