package freeport_test

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/freeport"
)

const (
	// helperVariable makes a process of this test take ports, print them, and keep them until its input ends.
	helperVariable = "FREEPORT_TEST_HELPER"
	ports          = 1500
)

func TestMain(m *testing.M) {
	if os.Getenv(helperVariable) == "" {
		os.Exit(m.Run())
	}
	for range ports {
		fmt.Println(freeport.Take())
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// TestProcessesTakeDifferentPorts guards against a port that two processes take at the same time, so that the second one can't listen.
func TestProcessesTakeDifferentPorts(t *testing.T) {
	taken := map[string]bool{}
	for range 3 {
		helper := exec.Command(os.Args[0])
		helper.Env = append(os.Environ(), helperVariable+"=1")
		in, err := helper.StdinPipe()
		require.NoError(t, err)
		out, err := helper.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, helper.Start())
		defer func() {
			_ = in.Close()
			require.NoError(t, helper.Wait())
		}()
		lines := bufio.NewScanner(out)
		for range ports {
			require.True(t, lines.Scan())
			require.False(t, taken[lines.Text()], lines.Text())
			taken[lines.Text()] = true
		}
	}
	for range ports {
		address := freeport.Take()
		require.False(t, taken[address], address)
		taken[address] = true
	}
}
