package gateway_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/internal/gateway"
)

// TestVersionIsLoggedBeforeItIsReported guards against requests that are logged with a
// version before the log contains the line that it came into force.
func TestVersionIsLoggedBeforeItIsReported(t *testing.T) {
	g := &gateway.Gateway{}
	var atLine []int64 // the version in force at each log line
	core, _ := observer.New(zap.InfoLevel)
	g.Log = zap.New(core, zap.Hooks(func(zapcore.Entry) error {
		var version int64
		if c := g.Config(); c != nil {
			version = c.Version()
		}
		atLine = append(atLine, version)
		return nil
	}))
	g.Run(balance.New(rand.New(rand.NewPCG(1, 1))))
	for _, version := range []int64{1, 2, 2, 1, 5} {
		g.SetConfig(fleet.NewConfig(version, routes, nil, fleet.Limits{}))
	}
	require.Equal(t, int64(5), g.Config().Version())
	require.Equal(t, []int64{0, 1, 2}, atLine)
}
