package object_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/standin/fault"
	"guavapaddle/internal/testbed/standin/platform"
	"guavapaddle/io/object"
	"guavapaddle/io/table"
)

// TestObject checks reads and writes on a platform whose table and object store fail
// independently.
func TestObject(t *testing.T) {
	p := &platform.Platform{}
	address, err := p.Start()
	require.NoError(t, err)
	defer p.Close()
	c := &object.Client{Address: address, Timeout: time.Second}
	_, err = c.Get(t.Context(), "config/a b")
	require.Equal(t, object.NotFound, object.KindOf(err))
	require.NoError(t, c.Put(t.Context(), "config/a b", []byte("body")))
	p.Table.Faults.SetFaults(fault.Faults{Refuse: true})
	got, err := c.Get(t.Context(), "config/a b")
	require.NoError(t, err)
	require.Equal(t, "body", string(got))
	_, err = (&table.Client{Address: address}).Scan(t.Context(), "")
	require.Equal(t, table.Unavailable, table.KindOf(err))
	p.Objects.Faults.SetFaults(fault.Faults{Refuse: true})
	require.Equal(t, object.Unavailable, object.KindOf(c.Put(t.Context(), "k", nil)))
	p.Objects.Faults.SetFaults(fault.Faults{DropAnswers: 1})
	require.Equal(t, object.Uncertain, object.KindOf(c.Put(t.Context(), "k", nil)))
	got, err = c.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Empty(t, got)
	p.SetFaults(fault.Faults{Down: true})
	_, err = c.Get(t.Context(), "k")
	require.Equal(t, object.Uncertain, object.KindOf(err))
}
