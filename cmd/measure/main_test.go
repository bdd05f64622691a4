package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/measure"
)

func TestInvalidCommandLines(t *testing.T) {
	for _, line := range []string{
		"-nodes 0", "-output xml", "-windows 0", "-at 1,x", "-vary moons -at 1", "extra", "point -servers 0", "stand-ins -models 0",
	} {
		t.Run(line, func(t *testing.T) {
			err := command(t.Context(), strings.Fields(line), strings.NewReader(""), &bytes.Buffer{})
			require.ErrorAs(t, err, new(*measure.UsageError))
		})
	}
}
