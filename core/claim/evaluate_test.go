package claim_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/claim"
	"guavapaddle/core/outcome"
	"guavapaddle/core/row"
)

// stored returns a row with the claim c at revision 7.
func stored(c claim.Claim) row.Row {
	return row.Row{Key: "k", Value: claim.Change{Claim: c}.Value(), Revision: 7}
}

func TestKeyScopeIsTheTeam(t *testing.T) {
	require.NotEqual(t, claim.Key("corella", "k"), claim.Key("kabinaki", "k"))
	require.NotEqual(t, claim.Key("ab", "c"), claim.Key("a", "bc"))
	require.Equal(t, claim.Key("corella", "k"), claim.Key("corella", "k"))
}

func TestBodyHashCoversTheWholeCall(t *testing.T) {
	base := claim.BodyHash("s", "POST", "/a", []byte("b"))
	for _, other := range []string{
		claim.BodyHash("t", "POST", "/a", []byte("b")), claim.BodyHash("s", "PUT", "/a", []byte("b")),
		claim.BodyHash("s", "POST", "/ab", nil), claim.BodyHash("s", "POST", "/a", []byte("c")),
	} {
		require.NotEqual(t, base, other)
	}
}

func TestEvaluate(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	own := claim.Claim{Team: "corella", BodyHash: "h", Attempt: "mine"}
	other := claim.Claim{
		State: claim.Claimed, Team: "corella", BodyHash: "h", Attempt: "other", Node: "n1", Incarnation: 3,
		DeadlineMS: now.Add(5 * time.Second).UnixMilli(),
	}
	expired := other
	expired.DeadlineMS = now.Add(-claim.ClockMargin).UnixMilli()
	body := other
	body.BodyHash = "h2"
	lost := other
	lost.State, lost.Reason = claim.Unknown, outcome.BackendLost
	dead := func(node string, incarnation uint64) bool { return node == "n1" && incarnation == 3 }
	for name, c := range map[string]struct {
		current claim.Claim
		dead    claim.IsDead
		outcome outcome.Outcome
		reason  outcome.Reason
	}{
		"young claim is in progress":       {other, nil, outcome.Unknown, outcome.InProgress},
		"past deadline and margin unknown": {expired, nil, outcome.Unknown, outcome.PeerLost},
		"dead node unknown at once":        {other, dead, outcome.Unknown, outcome.PeerLost},
		"other body refused":               {body, nil, outcome.RefusedNotRun, outcome.KeyReused},
		"lost answer keeps its reason":     {lost, nil, outcome.Unknown, outcome.BackendLost},
	} {
		t.Run(name, func(t *testing.T) {
			v, err := claim.Evaluate(stored(c.current), own, now, c.dead)
			require.NoError(t, err)
			require.Equal(t, claim.Denied, v.Decision)
			require.Equal(t, c.outcome, v.Err.Outcome)
			require.Equal(t, c.reason, v.Err.Reason)
		})
	}
	_, err := claim.Evaluate(row.Row{Key: "k", Value: []byte("{"), Revision: 1}, own, now, nil)
	require.ErrorAs(t, err, new(*claim.RowError), "a row that can't be decoded permits no send")
}

func TestSweepRemovesOldClaimsOnly(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	old, young := claim.Claim{AtMS: now.Add(-25 * time.Hour).UnixMilli()}, claim.Claim{AtMS: now.Add(-time.Hour).UnixMilli()}
	a, b := stored(old), stored(young)
	a.Key, b.Key = claim.Prefix+"a", claim.Prefix+"b"
	absent := row.Row{Key: claim.Prefix + "c"}
	tx := claim.AddBatch(row.Tx{}, claim.Minute(now), "n1-x", []claim.Change{
		{Key: a.Key, Claim: claim.Claim{State: claim.Claimed}}, {Key: "not", Claim: claim.Claim{State: claim.Done}}})
	batch := row.Row{Key: tx.Writes[0].Key, Value: tx.Writes[0].Value, Revision: 3}
	keys, err := claim.BatchKeys(batch)
	require.NoError(t, err)
	require.Equal(t, []string{a.Key}, keys)
	require.Contains(t, batch.Key, claim.MinutePrefix(claim.Minute(now)))
	sweep := claim.Sweep(batch, []row.Row{a, b, absent}, now, claim.DefaultRetention)
	require.Equal(t, row.Tx{}.When(batch.Key, 3).Delete(batch.Key).When(a.Key, 7).Delete(a.Key), sweep)
}

func TestNextMinuteWaitsForTheWholeMinuteToAge(t *testing.T) {
	now := time.UnixMilli(1_800_000_030_000)
	first, due, err := claim.NextMinute(row.Row{Key: claim.CursorKey}, now, claim.DefaultRetention)
	require.NoError(t, err)
	require.True(t, due)
	require.LessOrEqual(t, (first+1)*60, now.Add(-claim.DefaultRetention).Unix())
	tx := claim.Advance(row.Row{Key: claim.CursorKey}, first)
	cursor := row.Row{Key: claim.CursorKey, Value: tx.Writes[0].Value, Revision: 1}
	_, due, err = claim.NextMinute(cursor, now, claim.DefaultRetention)
	require.NoError(t, err)
	require.False(t, due)
	next, due, err := claim.NextMinute(cursor, now.Add(time.Minute), claim.DefaultRetention)
	require.NoError(t, err)
	require.True(t, due)
	require.Equal(t, first+1, next)
}
