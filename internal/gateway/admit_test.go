package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/apikey"
	"guavapaddle/core/fleet"
	"guavapaddle/core/quota"
	"guavapaddle/internal/gateway"
	"guavapaddle/internal/granter"
	"guavapaddle/internal/hub"
	"guavapaddle/platform/standin"
)

const (
	teamHeader = "X-Guavapaddle-Tenant"
	deskKey    = "k-desk-secret"
	deskAuth   = "Authorization: Bearer " + deskKey
)

// configWithKeys returns a configuration with one team that has the keys, and a public
// route in addition to routes.
func configWithKeys(version int64, quota fleet.Quota, keys ...string) *fleet.Config {
	all := append([]fleet.Route{{Name: "public", Host: "h.example", Prefix: "/public/", Kind: fleet.Safe, MaxAttempts: 1, Public: true,
		Timeout: 2 * time.Second, Splits: []fleet.Split{{Service: "plain", Weight: 1}}}}, routes...)
	m := fleet.TeamKeys{Team: fleet.Team{Name: "desk", Priority: 1, Quota: quota}}
	for _, k := range keys {
		m.Keys = append(m.Keys, apikey.Sum(k))
	}
	engine := &fleet.Engine{Models: map[string]fleet.Model{"m": {Name: "m"}}}
	return fleet.NewConfig(version, all, []fleet.Service{{Name: "plain", Engine: engine}}, fleet.Limits{}).WithTeams([]fleet.TeamKeys{m})
}

func TestOnlyValidKeysMayCall(t *testing.T) {
	w := startWorker(t, "i-1", standin.OK)
	r := newRig(t, w)
	r.gateway.SetConfig(configWithKeys(2, fleet.Quota{}, deskKey))
	for name, x := range map[string]struct {
		path   string
		header []string
		status int
	}{
		"right key":         {"/safe/x", []string{deskAuth}, 200},
		"no key":            {"/safe/x", nil, 401},
		"unknown key":       {"/safe/x", []string{"Authorization: Bearer k-other"}, 401},
		"other scheme":      {"/safe/x", []string{"Authorization: Basic " + deskKey}, 401},
		"given twice":       {"/safe/x", []string{deskAuth, deskAuth}, 401},
		"empty":             {"/safe/x", []string{"Authorization: Bearer "}, 401},
		"over-long":         {"/safe/x", []string{"Authorization: Bearer " + strings.Repeat("k", 4000)}, 401},
		"public":            {"/public/x", nil, 200},
		"public, wrong key": {"/public/x", []string{"Authorization: Bearer k-other"}, 200},
	} {
		got := r.do("GET", x.path, "id-"+strings.ReplaceAll(name, " ", "-"), "", x.header...)
		require.NoError(t, got.err, name)
		require.Equal(t, x.status, got.status, name)
		if x.status == http.StatusUnauthorized {
			require.Equal(t, "Bearer", got.header.Get("WWW-Authenticate"), name)
		}
	}
	require.Len(t, w.Runs(), 3)
	require.Eventually(t, func() bool { return strings.Count(r.log.String(), "event=request ") == 9 }, 2*time.Second, time.Millisecond, "each request is logged")
	require.NotContains(t, r.log.String(), deskKey, "keys are not logged")
	require.Contains(t, r.log.String(), "key="+apikey.Sum(deskKey).String())
}

func TestServerReceivesTeamAndNotKey(t *testing.T) {
	w := startWorker(t, "i-1", standin.OK)
	r := newRig(t, w)
	r.gateway.SetConfig(configWithKeys(2, fleet.Quota{}, deskKey))
	for _, header := range [][]string{
		{deskAuth},
		{deskAuth, teamHeader + ": other"},
		{deskAuth, "x-guavapaddle-tenant: other", teamHeader + ": third"},
		{deskAuth, "Connection: " + teamHeader, teamHeader + ": other"},
	} {
		require.Equal(t, 200, r.do("GET", "/safe/x", "id", "", header...).status)
	}
	require.Equal(t, 200, r.do("GET", "/public/x", "id", "", teamHeader+": other").status)
	got, _ := w.Requests()
	require.Len(t, got, 5)
	for i, q := range got {
		require.Empty(t, q.Header.Values("Authorization"))
		want := []string{"desk"}
		if i == 4 {
			want = nil
		}
		require.Equal(t, want, q.Header.Values(teamHeader), "request %d", i)
	}
}

// TestKeyRevokedDuringWaitIsRefused guards against serving a request whose key is revoked
// while the request waits for a slot.
func TestKeyRevokedDuringWaitIsRefused(t *testing.T) {
	w := startWorker(t, "i-1", standin.OK)
	r := newRig(t, w)
	r.gateway.SetServers([]fleet.Server{{ID: "i-1", Service: "plain", Address: w.Address(), Zone: "z", Slots: 4, Resident: []fleet.ResidentModel{{Model: "m"}}}})
	r.gateway.SetConfig(configWithKeys(2, fleet.Quota{}, deskKey))
	r.gateway.AcquireSlot = func(context.Context, hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
		r.gateway.SetConfig(configWithKeys(3, fleet.Quota{}, "k-new"))
		return hub.SlotReply{Granted: true, Server: "i-1"}, noGrant{}, nil
	}
	require.Equal(t, 401, r.do("GET", "/stream/x", "id", "", deskAuth, "X-Guavapaddle-Model: m").status)
	require.Empty(t, w.Runs())
}

func TestKeysAreRefusedWhenConfigIsTooOld(t *testing.T) {
	w := startWorker(t, "i-1", standin.OK)
	r := newRig(t, w)
	var age atomic.Int64
	r.gateway.KeyAge = time.Second
	r.gateway.ConfigAge = func() time.Duration { return time.Duration(age.Load()) }
	r.gateway.SetConfig(configWithKeys(2, fleet.Quota{}, deskKey))
	require.Equal(t, 200, r.do("GET", "/safe/x", "a", "", deskAuth).status)
	require.True(t, r.gateway.Serves())
	age.Store(int64(time.Second))
	require.False(t, r.gateway.Serves())
	got := r.do("GET", "/safe/x", "b", "", deskAuth)
	require.Equal(t, 503, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Equal(t, 200, r.do("GET", "/public/x", "c", "").status, "public routes need no key")
	require.Equal(t, []string{"a", "c"}, w.Runs())
}

func TestUnknownKeyRefreshesConfig(t *testing.T) {
	w := startWorker(t, "i-1", standin.OK)
	r := newRig(t, w)
	refreshes := 0
	r.gateway.Refresh = func(context.Context) {
		refreshes++
		r.gateway.SetConfig(configWithKeys(3, fleet.Quota{}, "k-new"))
	}
	r.gateway.SetConfig(configWithKeys(2, fleet.Quota{}, deskKey))
	require.Equal(t, 200, r.do("GET", "/safe/x", "a", "", "Authorization: Bearer k-new").status)
	require.Equal(t, 1, refreshes)
	require.Equal(t, 401, r.do("GET", "/safe/x", "b", "", deskAuth).status)
	require.Equal(t, 1, refreshes, "a revoked key is refused without a query")
}

var smallQuota = fleet.Quota{Rate: 100, Burst: 100, CountTokens: true, DefaultTokens: 200}

func TestTeamOverQuotaGetsRetryAfter(t *testing.T) {
	w := startWorker(t, "i-1", standin.OK)
	r := newRig(t, w)
	r.gateway.SetServers([]fleet.Server{{ID: "i-1", Service: "plain", Address: w.Address(), Zone: "z", Slots: 4, Resident: []fleet.ResidentModel{{Model: "m"}}}})
	r.gateway.SetConfig(configWithKeys(2, smallQuota, deskKey))
	var charges []hub.Charge
	r.gateway.AcquireSlot = func(_ context.Context, p hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
		charges = append(charges, p.Charge)
		return hub.SlotReply{Why: string(granter.OverQuota), After: 2 * time.Second}, noGrant{}, nil
	}
	got := r.do("GET", "/stream/x", "id", "", deskAuth, "X-Guavapaddle-Model: m", "X-Guavapaddle-Token-Count: 70,30")
	require.Equal(t, 429, got.status)
	require.Regexp(t, `^[23]\.\d\d$`, got.header.Get("Retry-After"))
	require.Empty(t, w.Runs())
	require.Equal(t, []hub.Charge{{Team: "desk", Cost: 100}}, charges)
	require.Empty(t, r.gateway.QuotaUsage().Uses)
}

// TestChargeOfUnrunRequestIsRefunded guards against charging a request more than once when
// it is sent several times, and against keeping the charge of a request that no server ran.
func TestChargeOfUnrunRequestIsRefunded(t *testing.T) {
	w := startWorker(t, "i-1", standin.OK, standin.Shed)
	r := newRig(t, w)
	r.gateway.SetConfig(configWithKeys(2, fleet.Quota{Rate: 1e6, Burst: 1e6, CountTokens: true, DefaultTokens: 200}, deskKey))
	r.gateway.UpdateQuotas(0, nil, 1)
	require.Equal(t, 200, r.do("GET", "/safe/x", "a", "", deskAuth).status)
	require.Equal(t, 503, r.do("GET", "/safe/x", "b", "", deskAuth).status)
	require.Eventually(t, func() bool { return strings.Contains(r.log.String(), "event=request request-id=b") }, 2*time.Second, time.Millisecond)
	require.Equal(t, []quota.TeamUsage{{Team: "desk", Now: quota.Usage{Spent: 200, Owed: 200}}}, r.gateway.QuotaUsage().Uses)
}

func TestNodeWithoutGranterUsesItsShare(t *testing.T) {
	w := startWorker(t, "i-1", standin.OK)
	r := newRig(t, w)
	r.gateway.SetConfig(configWithKeys(2, smallQuota, deskKey))
	r.gateway.UpdateQuotas(0, map[string]quota.State{"desk": {Share: 1}}, 1)
	r.gateway.LeaderLost()
	served := 0
	for i := range 10 {
		if r.do("GET", "/safe/x", string(rune('a'+i)), "", deskAuth).status == 200 {
			served++
		}
	}
	require.LessOrEqual(t, served, 1, "a request costs two seconds of the rate")
}

// TestNodeKeepsToItsShareWhileQuotaIsLow guards against a node that exceeds its share while
// the granter reports that the team's bucket is low, or that stays limited to its share
// when the bucket is no longer low.
func TestNodeKeepsToItsShareWhileQuotaIsLow(t *testing.T) {
	w := startWorker(t, "i-1", standin.OK)
	r := newRig(t, w)
	r.gateway.SetConfig(configWithKeys(2, smallQuota, deskKey))
	statuses := func(name string) map[int]int {
		got := map[int]int{}
		for i := range 10 {
			got[r.do("GET", "/safe/x", fmt.Sprint(name, i), "", deskAuth).status]++
		}
		return got
	}
	r.gateway.UpdateQuotas(0, map[string]quota.State{"desk": {Share: 1, Scarce: true}}, 1)
	low := statuses("scarce")
	require.LessOrEqual(t, low[200], 1, "a request costs two seconds of the rate")
	require.Equal(t, 10, low[200]+low[429])
	require.Contains(t, r.log.String(), "reason="+string(gateway.Quota))
	r.gateway.UpdateQuotas(0, map[string]quota.State{"desk": {Share: 1}}, 1)
	require.Equal(t, map[int]int{200: 10}, statuses("enough"))
	spent := float64(200 * (low[200] + 10))
	require.Equal(t, []quota.TeamUsage{{Team: "desk", Now: quota.Usage{Spent: spent, Owed: spent}, Share: 1}}, r.gateway.QuotaUsage().Uses)
}

// TestServerLeavingBetweenPickAndSendGetsNoRequest guards against sending a request to a
// server that began to leave after it was picked. The list of servers changes while the
// request's key is checked again, which follows the pick.
func TestServerLeavingBetweenPickAndSendGetsNoRequest(t *testing.T) {
	leavingWorker, stayingWorker := startWorker(t, "i-1", standin.OK), startWorker(t, "i-2", standin.OK)
	r := newRig(t, leavingWorker, stayingWorker)
	list := func(leaving bool) []fleet.Server {
		return []fleet.Server{{ID: "i-1", Service: "plain", Address: leavingWorker.Address(), Zone: "z", Slots: 4, Leaving: leaving},
			{ID: "i-2", Service: "plain", Address: stayingWorker.Address(), Zone: "away", Slots: 4}}
	}
	r.gateway.SetServers(list(false))
	r.gateway.SetConfig(configWithKeys(2, fleet.Quota{}, deskKey))
	checks := 0
	r.gateway.KeyAge = time.Second
	r.gateway.ConfigAge = func() time.Duration {
		if checks++; checks > 1 { // the first check is at admission
			r.gateway.SetServers(list(true))
		}
		return 0
	}
	require.Equal(t, 200, r.do("GET", "/safe/x", "id", "", deskAuth).status)
	require.Empty(t, leavingWorker.Visits())
	require.Len(t, stayingWorker.Visits(), 1)
	require.Contains(t, r.log.String(), "reason=leaving")
}

// TestRefusalByOutdatedConfigurationIsNotFinal guards against a 404 for a route that a newer configuration has, while this node is late.
func TestRefusalByOutdatedConfigurationIsNotFinal(t *testing.T) {
	r := newRig(t, startWorker(t, "i-1"))
	var age atomic.Int64
	r.gateway.ConfigAge = func() time.Duration { return time.Duration(age.Load()) }
	r.gateway.RefusalAge = 2 * time.Second
	age.Store(int64(time.Second))
	require.Equal(t, 404, r.do("GET", "/none/", "r1", "").status)
	age.Store(int64(3 * time.Second))
	a := r.do("GET", "/none/", "r2", "")
	require.Equal(t, 503, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Eventually(t, func() bool { return strings.Contains(r.log.String(), "reason=stale-config") }, 2*time.Second, time.Millisecond)
	require.Equal(t, 200, r.do("GET", "/safe/", "r3", "").status, "a route that it has is served")
}

// TestOverloadedNodeDoesNotRunOutdatedRoutes guards against requests that are run by a configuration whose successors an overloaded node has not
// noticed. Where the store is the reason, they are served.
func TestOverloadedNodeDoesNotRunOutdatedRoutes(t *testing.T) {
	w := startWorker(t, "i-1")
	r := newRig(t, w)
	for i, x := range []struct {
		age     time.Duration
		delayed bool
		status  int
	}{{time.Second, true, 200}, {3 * time.Second, true, 503}, {3 * time.Second, false, 200}} {
		r.gateway.ConfigAge = func() time.Duration { return x.age }
		r.gateway.Delayed = func() bool { return x.delayed }
		r.gateway.RefusalAge = 2 * time.Second
		a := r.do("GET", "/safe/", fmt.Sprint("r", i), "")
		require.Equal(t, x.status, a.status, "%+v", x)
		if x.status == 503 {
			require.NotEmpty(t, a.header.Get("Retry-After"))
		}
	}
	require.Len(t, w.Visits(), 2)
}
