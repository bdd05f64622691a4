package vmlist_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/standin/fault"
	standin "guavapaddle/internal/testbed/standin/vmlist"
	"guavapaddle/io/vmlist"
)

// TestList checks setting, listing and removing an entry, and the error of a refused call.
func TestList(t *testing.T) {
	l := &standin.List{}
	address, err := l.Start()
	require.NoError(t, err)
	defer l.Close()
	c := &vmlist.Client{Address: address}
	vm := vmlist.VM{Name: "a", Address: "127.0.0.1:1", Role: vmlist.Engine, DataCentre: "dc", State: vmlist.Leaving}
	require.NoError(t, c.Set(t.Context(), vm))
	got, err := c.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, []vmlist.VM{vm}, got)
	vm.State = vmlist.Gone
	require.NoError(t, c.Set(t.Context(), vm))
	got, err = c.List(t.Context())
	require.NoError(t, err)
	require.Empty(t, got)
	l.Faults.SetFaults(fault.Faults{Refuse: true})
	_, err = c.List(t.Context())
	var e *vmlist.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, vmlist.Unavailable, e.Kind)
}
