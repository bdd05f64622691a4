package config_test

import (
	"bytes"
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
)

const (
	key     = "test-key"
	keyHash = "sha256:62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef"
)

// document returns a small valid document.
func document(t testing.TB) *config.Document {
	t.Helper()
	doc, err := config.Load([]byte(small))
	require.NoError(t, err)
	return doc
}

const small = `{
  "deployment": "small",
  "teams": [
    {"name": "shire", "key-hashes": ["` + keyHash + `"], "models": ["drafter", "terse"],
     "services": ["bookings"], "kinds": ["live", "confirm"], "default-kind": "live"},
    {"name": "control", "key-hashes": ["sha256:` + digits + `"], "models": ["*"],
     "kinds": ["live"], "default-kind": "live", "weight": 2.5}
  ],
  "kinds": [
    {"name": "live", "urgency": "urgent", "value": 10, "deadline-ms": 15000, "repeatable": true},
    {"name": "confirm", "urgency": "urgent", "value": 20, "deadline-ms": 5000, "repeatable": false}
  ],
  "models": [
    {"name": "drafter", "version": "1", "bytes": 16000, "load-peak-bytes": 1000, "min-copies": 2},
    {"name": "checker", "version": "4", "bytes": 8000}
  ],
  "adapters": [{"name": "terse", "model": "drafter", "version": "2", "bytes": 200}],
  "services": [
    {"name": "bookings", "path": "/bookings/", "calls": [
      {"method": "POST", "path": "confirm", "kind": "confirm"},
      {"method": "GET", "path": "", "kind": "live"}]},
    {"name": "audit", "path": "/bookings/audit/", "calls": [{"method": "*", "path": "", "kind": "live"}]}
  ],
  "backend-servers": [
    {"name": "engine-1", "type": "engine", "address": "10.0.0.1:8000", "data-centre": "dc-1",
     "memory-bytes": 50000, "kv-reserve-bytes": 10000, "checks-orders": true, "slots": 8, "step-ms": 7},
    {"name": "engine-2", "type": "engine", "address": "10.0.0.2:8000", "data-centre": "dc-2",
     "memory-bytes": 50000, "kv-reserve-bytes": 10000, "order-lifetime-ms": 60000, "slots": 8, "step-ms": 7},
    {"name": "booking-1", "type": "service", "service": "bookings", "address": "10.0.0.3:8000", "data-centre": "dc-1", "slots": 32},
    {"name": "audit-1", "type": "service", "service": "audit", "address": "10.0.0.4:8000", "data-centre": "dc-1", "slots": 32}
  ]
}`

const digits = "abababababababababababababababababababababababababababababababab"

func TestParseFillsInDefaults(t *testing.T) {
	doc := document(t)
	require.Equal(t, config.DefaultLimits(), doc.Limits)
	require.Equal(t, config.DefaultPlacement(), doc.Placement)
	require.Equal(t, config.DefaultMinCopies, doc.Models[1].MinCopies)
	require.Equal(t, config.DefaultWeight, doc.Teams[0].Weight)
	zero, err := config.Parse([]byte(strings.Replace(small, `"deployment"`, `"limits": {"retry-share": 0}, "deployment"`, 1)))
	require.NoError(t, err)
	require.Zero(t, zero.Limits.RetryShare, "an explicit zero is not replaced by the default")
	require.Equal(t, config.DefaultLimits().BodyBytes, zero.Limits.BodyBytes)
}

func TestErrorForRenamedFieldGivesNewName(t *testing.T) {
	_, err := config.Parse([]byte(strings.Replace(small, `"teams"`, `"customers"`, 1)))
	require.ErrorContains(t, err, "it is called teams")
}

func TestCanonicalFormIgnoresOrder(t *testing.T) {
	doc := document(t)
	again, err := config.Load(doc.Canonical())
	require.NoError(t, err)
	require.Equal(t, doc.Canonical(), again.Canonical())
	require.Equal(t, config.HashBytes(doc.Canonical()), doc.Hash())

	shuffled := document(t)
	random := rand.New(rand.NewSource(1))
	random.Shuffle(len(shuffled.Servers), func(i, j int) {
		shuffled.Servers[i], shuffled.Servers[j] = shuffled.Servers[j], shuffled.Servers[i]
	})
	random.Shuffle(len(shuffled.Teams), func(i, j int) {
		shuffled.Teams[i], shuffled.Teams[j] = shuffled.Teams[j], shuffled.Teams[i]
	})
	shuffled.Teams[0].KeyHashes[0] = strings.ToUpper(shuffled.Teams[0].KeyHashes[0][:8]) + shuffled.Teams[0].KeyHashes[0][8:]
	require.Equal(t, doc.Hash(), shuffled.Hash())

	calls := document(t).Services[0].Calls
	shuffled.Services[0].Calls = []config.Call{calls[1], calls[0]}
	require.NotEqual(t, doc.Hash(), shuffled.Hash(), "the first matching call applies, so the order matters")
}

func TestDiffIdentifiesEntriesByName(t *testing.T) {
	a, b := document(t), document(t)
	require.Empty(t, config.Diff(a, b))
	b.Models[0].Version = "2"
	b.Adapters = nil
	b.Teams[0].Models = []string{"terse", "checker"}
	b.Limits.RetryShare = 0.5
	var lines []string
	for _, c := range config.Diff(a, b) {
		lines = append(lines, c.String())
	}
	require.Equal(t, []string{
		`remove adapters["terse"]: {"bytes":200,"load-peak-bytes":0,"min-copies":1,"model":"drafter","name":"terse","version":"2"}`,
		`replace limits.retry-share: 0.1 -> 0.5`,
		`replace models["drafter"].version: "1" -> "2"`,
		`add teams["shire"].models["checker"]: "checker"`,
		`remove teams["shire"].models["drafter"]: "drafter"`,
	}, lines)
	require.Len(t, config.Diff(nil, a), 9, "one change per top-level name")
}

func TestIndexLookups(t *testing.T) {
	x := config.NewIndex(document(t), 7)
	require.Equal(t, uint64(7), x.Version())
	shire, ok := x.TeamByKey(key)
	require.True(t, ok)
	require.Equal(t, "shire", shire.Name)
	for _, wrong := range []string{"", "test-ke", "test-key ", keyHash} {
		_, ok = x.TeamByKey(wrong)
		require.False(t, ok, wrong)
	}
	tests := []struct {
		team, name string
		want       bool
	}{
		{"shire", "drafter", true},
		{"shire", "terse", true},
		{"shire", "checker", false},
		{"control", "checker", true},
		{"control", "undeclared", false},
		{"nobody", "drafter", false},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, x.Allowed(tt.team, tt.name), tt)
	}
	require.True(t, x.AllowedService("shire", "bookings"))
	require.False(t, x.AllowedService("control", "bookings"))
	require.False(t, x.AllowedKind("control", "confirm"))
	item, ok := x.Resolve("terse")
	require.True(t, ok)
	require.Equal(t, "drafter+terse@2", item.String())
	require.Len(t, x.Items(), 3)
	require.Len(t, x.Servers(), 4)
}

func TestCallKind(t *testing.T) {
	x := config.NewIndex(document(t), 1)
	tests := []struct {
		name, method, path, service, kind string
	}{
		{"confirm", "POST", "/bookings/confirm", "bookings", "confirm"},
		{"path below confirm", "POST", "/bookings/confirm/7", "bookings", "confirm"},
		{"same prefix, other segment", "POST", "/bookings/confirmed", "bookings", ""},
		{"any path", "GET", "/bookings/x/y", "bookings", "live"},
		{"method not declared", "DELETE", "/bookings/confirm", "bookings", ""},
		{"longest path of a service", "DELETE", "/bookings/audit/1", "audit", "live"},
		{"no service", "GET", "/other/", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, _ := x.Service(tt.path)
			require.Equal(t, tt.service, s.Name)
			k, ok := x.CallKind(s.Name, tt.method, tt.path)
			require.Equal(t, tt.kind, k.Name)
			require.Equal(t, tt.kind != "", ok)
		})
	}
}

func BenchmarkIndexTeamByKey(b *testing.B) {
	x := config.NewIndex(document(b), 1)
	for b.Loop() {
		x.TeamByKey(key)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(small))
	f.Add([]byte(`{"models":[{"name":"a","name":"b"}]}`))
	f.Add([]byte(`{"limits":null,"kinds":[[[]]]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := config.Parse(text)
		if err != nil {
			var invalid *config.InvalidError
			require.ErrorAs(t, err, &invalid)
			require.NotEmpty(t, invalid.Problems)
			return
		}
		body := doc.Canonical()
		again, err := config.Parse(body)
		require.NoError(t, err)
		require.True(t, bytes.Equal(body, again.Canonical()))
		require.Equal(t, doc.Validate() == nil, again.Validate() == nil)
		config.NewIndex(doc, 1)
	})
}
