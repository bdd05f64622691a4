package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavapaddle/core/row"
	"guavapaddle/core/suspect"
)

var (
	now         = time.UnixMilli(1_800_000_000_000)
	crash       = suspect.Incident{Server: "s1", BootID: "b1"}
	secondCrash = suspect.Incident{Server: "s2", BootID: "b7"}
	trial       = suspect.Incident{Server: "s2", Trial: "t1"}
)

func TestFingerprintCoversTeamModelAndBody(t *testing.T) {
	base := suspect.FingerprintOf("c", "m", []byte("b"))
	require.Len(t, string(base), 32)
	require.NotEqual(t, base, suspect.FingerprintOf("d", "m", []byte("b")))
	require.NotEqual(t, base, suspect.FingerprintOf("c", "mb", nil))
	require.NotEqual(t, base, suspect.FingerprintOf("cm", "", []byte("b")))
}

func TestVerdicts(t *testing.T) {
	var s suspect.Set
	fps := []suspect.Fingerprint{"a", "b"}
	require.Equal(t, suspect.Clear, s.Verdict(now, "a"))
	require.Len(t, s.RecordCrash(now, crash, fps), 2)
	require.Equal(t, suspect.Isolate, s.Verdict(now, "a"))
	s.RecordCrash(now, crash, fps)
	require.Equal(t, suspect.Isolate, s.Verdict(now, "a"), "an incident reported twice counts once")
	s.RecordCrash(now, secondCrash, fps[:1])
	require.Equal(t, suspect.Refuse, s.Verdict(now, "a"))
	_, marked := s.RecordSuccess(now, "b")
	require.True(t, marked)
	require.Equal(t, suspect.Clear, s.Verdict(now, "b"))
	s.RecordCrash(now, crash, fps)
	require.Equal(t, suspect.Clear, s.Verdict(now, "b"), "a late report of a cleared incident")
	_, marked = s.RecordSuccess(now, "c")
	require.False(t, marked)
	require.Equal(t, suspect.Clear, s.Verdict(now.Add(suspect.DefaultLifetime), "a"), "expired")
}

func TestTrialIsChargedWhileItRuns(t *testing.T) {
	var s suspect.Set
	s.RecordCrash(now, crash, []suspect.Fingerprint{"a"})
	require.True(t, s.RecordCharge(now, "a", trial).OnTrial())
	require.Equal(t, suspect.Refuse, s.Verdict(now, "a"))
	require.False(t, s.RecordNotRun(now, "a", trial).OnTrial())
	require.Equal(t, suspect.Isolate, s.Verdict(now, "a"))
}

func TestOneTrialPerServer(t *testing.T) {
	var s suspect.Set
	s.RecordCrash(now, crash, []suspect.Fingerprint{"a", "b"})
	until := now.Add(time.Minute)
	slot := row.Row{Key: suspect.SlotKey("s2")}
	p, err := s.Plan(now, "a", trial, until, row.Row{Key: suspect.Key("a")}, slot)
	require.NoError(t, err)
	require.Equal(t, suspect.Isolate, p.Verdict)
	require.Len(t, p.Tx.Writes, 2)
	charged, err := suspect.IsCharged("a", trial, row.Row{Key: suspect.Key("a"), Value: p.Tx.Writes[0].Value, Revision: 3})
	require.NoError(t, err)
	require.True(t, charged)

	slot.Value, slot.Revision = p.Tx.Writes[1].Value, 3
	other := suspect.Incident{Server: "s2", Trial: "t2"}
	mark := row.Row{Key: suspect.Key("b")}
	p, err = s.Plan(now, "b", other, until, mark, slot)
	require.NoError(t, err)
	require.True(t, p.Busy)
	require.Empty(t, p.Tx.Writes)
	require.Empty(t, suspect.FreeSlot(row.Tx{}, other, slot).Writes, "only the trial that holds a slot frees it")
	require.Equal(t, row.Tx{}.When(slot.Key, 3).Delete(slot.Key), suspect.FreeSlot(row.Tx{}, trial, slot))

	p, err = s.Plan(until, "b", other, until.Add(time.Minute), mark, slot)
	require.NoError(t, err)
	require.False(t, p.Busy, "a slot that is not released becomes free when its time has passed")

	_, err = s.Plan(now, "b", other, until, row.Row{Key: mark.Key, Value: []byte("{"), Revision: 1}, slot)
	require.ErrorAs(t, err, new(*suspect.RowError))
}

func TestMarkLimitKeepsRefusedMarks(t *testing.T) {
	s := suspect.Set{MaxMarks: 10}
	s.RecordCrash(now, crash, []suspect.Fingerprint{"bad"})
	s.RecordCrash(now, secondCrash, []suspect.Fingerprint{"bad"})
	for i := range 100 {
		s.RecordCrash(now, crash, []suspect.Fingerprint{suspect.Fingerprint(fmt.Sprint("f", i))})
	}
	require.Equal(t, 10, s.Len())
	require.EqualValues(t, 91, s.Evicted())
	require.Equal(t, suspect.Refuse, s.Verdict(now, "bad"))
	require.Equal(t, suspect.Isolate, s.Verdict(now, "f99"))
	require.Equal(t, suspect.Fingerprint("f99"), s.Marks(now)[0].Fingerprint, "the most recently changed mark is first")
	require.Empty(t, s.Marks(now.Add(2*time.Hour)))
}

func TestSweepRemovesOldRowsOnly(t *testing.T) {
	old := row.Row{Key: suspect.Key("a"), Value: []byte(`{"expires-ms":1}`), Revision: 4}
	slot := row.Row{Key: suspect.SlotKey("s1"), Value: []byte(`{"until-ms":1}`), Revision: 5}
	mark := suspect.Mark{Fingerprint: "b"}.WithIncident(crash, now.Add(time.Minute).UnixMilli())
	young := row.Row{Key: suspect.Key("b"), Value: suspect.Record(row.Row{}, mark).Writes[0].Value, Revision: 6}
	broken := row.Row{Key: suspect.Key("c"), Value: []byte("{"), Revision: 7}
	tx, some := suspect.Sweep(now, []row.Row{old, slot, young, broken})
	require.True(t, some)
	require.Equal(t, row.Tx{}.When(old.Key, 4).Delete(old.Key).When(slot.Key, 5).Delete(slot.Key), tx)
	_, some = suspect.Sweep(now, []row.Row{young})
	require.False(t, some)
}

// TestMergeInAnyOrder checks that nodes that receive the same marks, in any order
// and with duplicates, end with the same marks.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var marks []suspect.Mark
		for range rapid.IntRange(1, 8).Draw(rt, "marks") {
			m := suspect.Mark{Fingerprint: "a"}
			for range rapid.IntRange(0, 3).Draw(rt, "incidents") {
				i := suspect.Incident{Server: rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(rt, "server")}
				m = m.WithIncident(i, now.Add(time.Minute).UnixMilli())
				if rapid.Bool().Draw(rt, "cleared") {
					m = m.WithCleared(i)
				}
			}
			marks = append(marks, m)
		}
		var a, b suspect.Set
		a.Merge(now, marks)
		for _, m := range append(rapid.Permutation(marks).Draw(rt, "order"), marks[0]) {
			b.Merge(now, []suspect.Mark{m})
		}
		require.True(rt, a.Mark(now, "a").Equal(b.Mark(now, "a")))
		require.Zero(rt, a.Merge(now, b.Marks(now)))
	})
}

// TestCopiesGoToOneServer checks that concurrent copies of a request are directed
// to the server of the first one until all of them have ended.
func TestCopiesGoToOneServer(t *testing.T) {
	var c suspect.UnprovenCopies
	_, found := c.ServerOf("a")
	require.False(t, found)
	c.Begin("a", "s1")
	c.Begin("a", "s1")
	c.Begin("a", "s2") // the first server had no free slot
	c.End("a", "s2")
	c.End("a", "s1")
	server, found := c.ServerOf("a")
	require.True(t, found)
	require.Equal(t, "s1", server)
	c.End("a", "s1")
	_, found = c.ServerOf("a")
	require.False(t, found)
	c.End("a", "s1")
}

func BenchmarkVerdict(b *testing.B) {
	var s suspect.Set
	var fps []suspect.Fingerprint
	for i := range suspect.DefaultMaxMarks {
		fps = append(fps, suspect.Fingerprint(fmt.Sprint(i)))
	}
	s.RecordCrash(now, crash, fps)
	b.ReportAllocs()
	for b.Loop() {
		s.Verdict(now, "7")
	}
}

func BenchmarkFingerprintOf(b *testing.B) {
	body := make([]byte, 4096)
	for b.Loop() {
		suspect.FingerprintOf("corella", "plan-draft", body)
	}
}
