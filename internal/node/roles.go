package node

import (
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"guavapaddle/core/config"
	"guavapaddle/core/limit"
)

type (
	// limits applies core/limit to the requests of this node.
	limits struct {
		mu     sync.Mutex
		policy limit.Policy
	}
)

func newLimits() *limits { return &limits{policy: limit.NewByCost(limit.Settings{})} }

// Admit implements entry.Limits.
func (l *limits) Admit(c config.Customer, k config.Kind, estimate float64) (func(float64), time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok, after := l.policy.Admit(time.Now(), c, k, estimate)
	if !ok {
		return nil, after, false
	}
	return func(actual float64) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.policy.Settle(time.Now(), r, actual)
	}, 0, true
}

func (l *limits) configure(*config.Index) {}

// text returns the value of a log field as text.
func text(f zap.Field) string {
	switch f.Type {
	case zapcore.StringType:
		return f.String
	case zapcore.DurationType:
		return time.Duration(f.Integer).String()
	default:
		return strconv.FormatInt(f.Integer, 10)
	}
}
