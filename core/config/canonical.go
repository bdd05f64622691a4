package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Canonical returns the document as JSON without white space, with the defaults
// filled in and with entries and sets of names sorted. Equivalent documents have
// the same canonical bytes. The order of a service's calls is kept, because the
// first matching call applies.
func (d *Document) Canonical() []byte {
	b, err := json.Marshal(d.sorted())
	if err != nil {
		// Marshal fails only for NaN or an infinity, which JSON can't represent,
		// so a parsed document has none.
		panic(fmt.Errorf("config: canonical form: %w", err))
	}
	return b
}

// Hash returns the SHA-256 of the canonical bytes as 64 hex digits.
func (d *Document) Hash() string { return HashBytes(d.Canonical()) }

// HashBytes returns the SHA-256 of body as 64 hex digits.
func HashBytes(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// sorted returns a copy of d in canonical order.
func (d *Document) sorted() *Document {
	c := *d
	c.Teams = byName(d.Teams, func(c Team) string { return c.Name })
	for i := range c.Teams {
		c.Teams[i].KeyHashes = sortedNames(lower(c.Teams[i].KeyHashes))
		c.Teams[i].Models = sortedNames(c.Teams[i].Models)
		c.Teams[i].Services = sortedNames(c.Teams[i].Services)
		c.Teams[i].Kinds = sortedNames(c.Teams[i].Kinds)
	}
	c.Kinds = byName(d.Kinds, func(k Kind) string { return k.Name })
	c.Models = byName(d.Models, func(m Model) string { return m.Name })
	c.Adapters = byName(d.Adapters, func(a Adapter) string { return a.Name })
	c.Services = byName(d.Services, func(s PlainService) string { return s.Name })
	for i := range c.Services {
		c.Services[i].Calls = append([]Call{}, c.Services[i].Calls...)
	}
	c.Servers = byName(d.Servers, func(s BackendServer) string { return s.Name })
	return &c
}

// byName returns a copy of list sorted by name.
func byName[T any](list []T, name func(T) string) []T {
	c := append([]T{}, list...)
	slices.SortStableFunc(c, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return c
}

// sortedNames returns a sorted copy of names, never nil.
func sortedNames(names []string) []string {
	c := append([]string{}, names...)
	slices.Sort(c)
	return c
}

// lower returns a copy of names in lower case.
func lower(names []string) []string {
	c := make([]string, len(names))
	for i, n := range names {
		c[i] = strings.ToLower(n)
	}
	return c
}
