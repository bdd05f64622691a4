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

// keyed returns a configuration with keys: one team, one route more that is public.
func keyed(version int64, q fleet.Quota, keys ...string) *fleet.Config {
	all := append([]fleet.Route{{Name: "public", Host: "h.example", Prefix: "/public/", Kind: fleet.Safe, MaxAttempts: 1, Public: true,
		Timeout: 2 * time.Second, Splits: []fleet.Split{{Service: "plain", Weight: 1}}}}, routes...)
	m := fleet.TeamKeys{Team: fleet.Team{Name: "desk", Priority: 1, Quota: q}}
	for _, k := range keys {
		m.Keys = append(m.Keys, apikey.Sum(k))
	}
	engine := &fleet.Engine{Models: map[string]fleet.Model{"m": {Name: "m"}}}
	return fleet.NewConfig(version, all, []fleet.Service{{Name: "plain", Engine: engine}}, fleet.Limits{}).WithTeams([]fleet.TeamKeys{m})
}

func TestOnlyHoldersOfAKeyMayCall(t *testing.T) {
	w := worker(t, "i-1", standin.OK)
	r := newRig(t, w)
	r.gateway.SetConfig(keyed(2, fleet.Quota{}, deskKey))
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
	require.NotContains(t, r.log.String(), deskKey, "a key is in no log line")
	require.Contains(t, r.log.String(), "key="+apikey.Sum(deskKey).String())
}

func TestTheServerIsToldTheTeamAndNeverTheKey(t *testing.T) {
	w := worker(t, "i-1", standin.OK)
	r := newRig(t, w)
	r.gateway.SetConfig(keyed(2, fleet.Quota{}, deskKey))
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

// TestAKeyThatIsRevokedWhileItsRequestWaitsIsNotUsed takes the key away while the request
// waits for its place.
func TestAKeyThatIsRevokedWhileItsRequestWaitsIsNotUsed(t *testing.T) {
	w := worker(t, "i-1", standin.OK)
	r := newRig(t, w)
	r.gateway.SetServers([]fleet.Server{{ID: "i-1", Service: "plain", Address: w.Address(), Zone: "z", Slots: 4, Resident: []fleet.ResidentModel{{Model: "m"}}}})
	r.gateway.SetConfig(keyed(2, fleet.Quota{}, deskKey))
	r.gateway.Place = func(context.Context, hub.Place) (hub.Placed, hub.Grant, error) {
		r.gateway.SetConfig(keyed(3, fleet.Quota{}, "k-new"))
		return hub.Placed{Granted: true, Server: "i-1"}, noGrant{}, nil
	}
	require.Equal(t, 401, r.do("GET", "/stream/x", "id", "", deskAuth, "X-Guavapaddle-Model: m").status)
	require.Empty(t, w.Runs())
}

func TestKeysAreNotReliedOnWhenTheConfigurationIsTooOld(t *testing.T) {
	w := worker(t, "i-1", standin.OK)
	r := newRig(t, w)
	var age atomic.Int64
	r.gateway.KeyAge = time.Second
	r.gateway.ConfigAge = func() time.Duration { return time.Duration(age.Load()) }
	r.gateway.SetConfig(keyed(2, fleet.Quota{}, deskKey))
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

func TestAnUnknownKeyHasTheNewestConfigurationAskedFor(t *testing.T) {
	w := worker(t, "i-1", standin.OK)
	r := newRig(t, w)
	asked := 0
	r.gateway.Refresh = func(context.Context) {
		asked++
		r.gateway.SetConfig(keyed(3, fleet.Quota{}, "k-new"))
	}
	r.gateway.SetConfig(keyed(2, fleet.Quota{}, deskKey))
	require.Equal(t, 200, r.do("GET", "/safe/x", "a", "", "Authorization: Bearer k-new").status)
	require.Equal(t, 1, asked)
	require.Equal(t, 401, r.do("GET", "/safe/x", "b", "", deskAuth).status)
	require.Equal(t, 1, asked, "a key that was taken away is refused at once")
}

var narrow = fleet.Quota{Rate: 100, Burst: 100, CountTokens: true, DefaultTokens: 200}

func TestATeamOverItsQuotaIsToldWhenToComeBack(t *testing.T) {
	w := worker(t, "i-1", standin.OK)
	r := newRig(t, w)
	r.gateway.SetServers([]fleet.Server{{ID: "i-1", Service: "plain", Address: w.Address(), Zone: "z", Slots: 4, Resident: []fleet.ResidentModel{{Model: "m"}}}})
	r.gateway.SetConfig(keyed(2, narrow, deskKey))
	var charges []hub.Charge
	r.gateway.Place = func(_ context.Context, p hub.Place) (hub.Placed, hub.Grant, error) {
		charges = append(charges, p.Charge)
		return hub.Placed{Why: string(granter.OverQuota), After: 2 * time.Second}, noGrant{}, nil
	}
	got := r.do("GET", "/stream/x", "id", "", deskAuth, "X-Guavapaddle-Model: m", "X-Guavapaddle-Token-Count: 70,30")
	require.Equal(t, 429, got.status)
	require.Regexp(t, `^[23]\.\d\d$`, got.header.Get("Retry-After"))
	require.Empty(t, w.Runs())
	require.Equal(t, []hub.Charge{{Team: "desk", Cost: 100}}, charges)
	require.Empty(t, r.gateway.Spent().Uses)
}

// TestWhatHasNotRunIsGivenBack charges a request once, however often it is sent, and gives
// the tokens of one back that no server ran.
func TestWhatHasNotRunIsGivenBack(t *testing.T) {
	w := worker(t, "i-1", standin.OK, standin.Shed)
	r := newRig(t, w)
	r.gateway.SetConfig(keyed(2, fleet.Quota{Rate: 1e6, Burst: 1e6, CountTokens: true, DefaultTokens: 200}, deskKey))
	r.gateway.Told(0, nil, 1)
	require.Equal(t, 200, r.do("GET", "/safe/x", "a", "", deskAuth).status)
	require.Equal(t, 503, r.do("GET", "/safe/x", "b", "", deskAuth).status)
	require.Eventually(t, func() bool { return strings.Contains(r.log.String(), "event=request request-id=b") }, 2*time.Second, time.Millisecond)
	require.Equal(t, []quota.TeamUsage{{Team: "desk", Now: quota.Usage{Spent: 200, Owed: 200}}}, r.gateway.Spent().Uses)
}

func TestANodeWithoutAGranterSpendsItsShare(t *testing.T) {
	w := worker(t, "i-1", standin.OK)
	r := newRig(t, w)
	r.gateway.SetConfig(keyed(2, narrow, deskKey))
	r.gateway.Told(0, map[string]quota.State{"desk": {Share: 1}}, 1)
	r.gateway.Unled()
	served := 0
	for i := range 10 {
		if r.do("GET", "/safe/x", string(rune('a'+i)), "", deskAuth).status == 200 {
			served++
		}
	}
	require.LessOrEqual(t, served, 1, "a request takes two seconds of the rate")
}

// TestWhileLittleIsLeftANodeKeepsToItsShare has a granter tell that the team's bucket runs
// low, and then that it doesn't.
func TestWhileLittleIsLeftANodeKeepsToItsShare(t *testing.T) {
	w := worker(t, "i-1", standin.OK)
	r := newRig(t, w)
	r.gateway.SetConfig(keyed(2, narrow, deskKey))
	statuses := func(name string) map[int]int {
		got := map[int]int{}
		for i := range 10 {
			got[r.do("GET", "/safe/x", fmt.Sprint(name, i), "", deskAuth).status]++
		}
		return got
	}
	r.gateway.Told(0, map[string]quota.State{"desk": {Share: 1, Scarce: true}}, 1)
	scarce := statuses("scarce")
	require.LessOrEqual(t, scarce[200], 1, "a request takes two seconds of the rate")
	require.Equal(t, 10, scarce[200]+scarce[429])
	require.Contains(t, r.log.String(), "reason="+string(gateway.Quota))
	r.gateway.Told(0, map[string]quota.State{"desk": {Share: 1}}, 1)
	require.Equal(t, map[int]int{200: 10}, statuses("enough"))
	spent := float64(200 * (scarce[200] + 10))
	require.Equal(t, []quota.TeamUsage{{Team: "desk", Now: quota.Usage{Spent: spent, Owed: spent}, Share: 1}}, r.gateway.Spent().Uses)
}

// TestAServerThatDepartsBetweenPickAndSendGetsNoRequest has the list change while the
// request's key is checked, which comes after its pick.
func TestAServerThatDepartsBetweenPickAndSendGetsNoRequest(t *testing.T) {
	departs, stays := worker(t, "i-1", standin.OK), worker(t, "i-2", standin.OK)
	r := newRig(t, departs, stays)
	list := func(leaving bool) []fleet.Server {
		return []fleet.Server{{ID: "i-1", Service: "plain", Address: departs.Address(), Zone: "z", Slots: 4, Leaving: leaving},
			{ID: "i-2", Service: "plain", Address: stays.Address(), Zone: "away", Slots: 4}}
	}
	r.gateway.SetServers(list(false))
	r.gateway.SetConfig(keyed(2, fleet.Quota{}, deskKey))
	asked := 0
	r.gateway.KeyAge = time.Second
	r.gateway.ConfigAge = func() time.Duration {
		if asked++; asked > 1 { // first at its admission
			r.gateway.SetServers(list(true))
		}
		return 0
	}
	require.Equal(t, 200, r.do("GET", "/safe/x", "id", "", deskAuth).status)
	require.Empty(t, departs.Visits())
	require.Len(t, stays.Visits(), 1)
	require.Contains(t, r.log.String(), "reason=leaving")
}
