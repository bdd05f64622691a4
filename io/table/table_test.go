package table_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/row"
	"guavapaddle/internal/testbed/standin/fault"
	standin "guavapaddle/internal/testbed/standin/table"
	"guavapaddle/io/table"
)

// start starts a table service and returns it with a client for it.
func start(t *testing.T) (*standin.Table, *table.Client) {
	t.Helper()
	s := &standin.Table{WriteRate: 1e6, ReadRate: 1e6, KeepHistory: true}
	address, err := s.Start()
	require.NoError(t, err)
	t.Cleanup(s.Close)
	c := &table.Client{Address: address, Timeout: 5 * time.Second}
	t.Cleanup(c.Close)
	return s, c
}

// TestTransact checks conditions, revisions, reads and scans.
func TestTransact(t *testing.T) {
	_, c := start(t)
	res, err := c.Transact(t.Context(), row.Tx{}.When("a/1", 0).Put("a/1", []byte("x")).Put("a/2", []byte("y")))
	require.NoError(t, err)
	require.True(t, res.Committed)
	again, err := c.Transact(t.Context(), row.Tx{}.When("a/1", 0).Put("a/1", []byte("z")))
	require.NoError(t, err)
	require.False(t, again.Committed)
	require.Equal(t, []row.Row{{Key: "a/1", Value: []byte("x"), Revision: res.Revision}}, again.Conflicts)
	rows, err := c.Read(t.Context(), "b", "a/2")
	require.NoError(t, err)
	require.Equal(t, []row.Row{{Key: "b"}, {Key: "a/2", Value: []byte("y"), Revision: res.Revision}}, rows)
	res, err = c.Transact(t.Context(), row.Tx{}.When("a/2", res.Revision).Delete("a/2"))
	require.NoError(t, err)
	require.True(t, res.Committed)
	rows, err = c.Scan(t.Context(), "a/")
	require.NoError(t, err)
	require.Len(t, rows, 1)
}

// TestInvariantOutcomeIsNotMisreported checks that a transaction is reported as not
// committed only if it was not, and that one whose response was lost is reported as
// uncertain.
func TestInvariantOutcomeIsNotMisreported(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults fault.Faults
		kind   table.Kind
		done   bool
	}{
		{"sound", fault.Faults{}, "", true},
		{"refuses", fault.Faults{Refuse: true}, table.Unavailable, false},
		{"down", fault.Faults{Down: true}, table.Uncertain, false},
		{"answer dropped", fault.Faults{DropAnswers: 1}, table.Uncertain, true},
		{"late", fault.Faults{DelayMS: 60000}, table.Uncertain, true},
		{"black hole", fault.Faults{BlackHole: true}, table.Uncertain, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, client := start(t)
			s.Faults.SetFaults(c.faults)
			if c.faults.DelayMS > 0 || c.faults.BlackHole {
				client.Timeout = 200 * time.Millisecond
			}
			_, err := client.Transact(t.Context(), row.Tx{}.Put("k", nil))
			require.Equal(t, c.kind, table.KindOf(err), "%v", err)
			require.Eventually(t, func() bool { return c.done == (len(s.Rows("k")) == 1) }, 5*time.Second, time.Millisecond)
			require.LessOrEqual(t, len(s.History()), 1)
		})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = (&table.Client{Address: l.Addr().String()}).Transact(t.Context(), row.Tx{})
	require.Equal(t, table.Unavailable, table.KindOf(err))
}

// TestInvariantNoReplay checks that a transaction is committed only once when its connection
// breaks.
func TestInvariantNoReplay(t *testing.T) {
	s, c := start(t)
	s.Faults.SetFaults(fault.Faults{CloseReused: true})
	for range 10 {
		_, _ = c.Transact(t.Context(), row.Tx{}.Put("k", nil))
	}
	require.Len(t, s.History(), 10)
}

// TestSerializable lets many writers append to one row while responses are dropped, and
// checks that no append is lost or duplicated.
func TestSerializable(t *testing.T) {
	s, c := start(t)
	s.Faults.SetFaults(fault.Faults{DropAnswers: 20})
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() { appendOnce(context.Background(), t, c, fmt.Sprint(i)) })
	}
	wg.Wait()
	rows := s.Rows("sum")
	require.Len(t, rows, 1)
	require.Len(t, rows[0].Value, 20)
	last := uint64(0)
	for _, h := range s.History() {
		require.Greater(t, h.Revision, last)
		last = h.Revision
	}
}

// appendOnce appends one byte to the row "sum" exactly once. A marker row written in the
// same transaction identifies the writer's append.
func appendOnce(ctx context.Context, t *testing.T, c *table.Client, writer string) {
	for {
		rows, err := c.Read(ctx, "sum", "mark/"+writer)
		if err != nil {
			continue
		}
		if rows[1].Revision != 0 {
			return
		}
		tx := row.Tx{}.When("sum", rows[0].Revision).When("mark/"+writer, 0).
			Put("sum", append(rows[0].Value, 'x')).Put("mark/"+writer, nil)
		if _, err = c.Transact(ctx, tx); table.KindOf(err) == table.Invalid {
			t.Error(err)
			return
		}
	}
}
