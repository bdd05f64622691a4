package front_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/cutpath"
	"guavapaddle/platform/standin"
)

// TestBrokenOffStreamThroughAnotherNodeIsNotFramedAsComplete guards against streams that end in the middle of an event and
// reach the client of a node without a path to the servers as complete ones.
func TestBrokenOffStreamThroughAnotherNodeIsNotFramedAsComplete(t *testing.T) {
	t.Parallel()
	f, paths, engine := newCutCluster(t, 2)
	cut := f.nodes[1]
	paths[cut.settings.Node].Set(cutpath.Refusing)
	served := func(id string) bool {
		status, _ := cut.get(t, "/plans/x", id, "m0")
		return status == 200
	}
	n := 0
	require.Eventually(t, func() bool { n++; return served(fmt.Sprint("before", n)) }, 10*time.Second, 20*time.Millisecond, "through the other node")
	for name, does := range map[string]standin.Behaviour{"cut": standin.Cut, "unframed": standin.CutUnframed, "whole chunks": standin.CutWholeChunks, "unframed and reset": standin.ResetUnframed} {
		engine.SetScript(does)
		status, body := cut.get(t, "/plans/"+string(rune('a'+does)), name, "m0")
		require.Equal(t, 200, status, "%s: %s", name, body)
		require.Contains(t, body, "EOF", name)
		engine.SetScript(standin.OK)
		require.Eventually(t, func() bool { n++; return served(fmt.Sprint("after", n)) }, 10*time.Second, 20*time.Millisecond, "the server is used again")
	}
}
