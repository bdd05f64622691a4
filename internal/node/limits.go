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

const (
	// LimitCost limits teams by the estimated cost of their requests.
	LimitCost = "cost"
	// LimitRequests limits teams by the number of their requests.
	LimitRequests = "requests"
	// LimitNone disables the limits.
	LimitNone = "none"

	// limitSlack is the factor by which a node may exceed its even share of the
	// total capacity before it limits teams, since callers are not distributed
	// evenly over the nodes.
	limitSlack = 3
	// assumedTokens is the assumed cost of a request in tokens for LimitRequests.
	assumedTokens = 128.0
)

// LimitNames returns the names of all limit policies.
func LimitNames() []string { return []string{LimitCost, LimitRequests, LimitNone} }

// limits applies the policies of core/limit to the requests of this node.
type limits struct {
	policyName string

	mu       sync.Mutex
	policy   limit.Policy
	capacity float64
}

// newLimits returns limits with the given policy. No request is limited before the
// first call of configure.
func newLimits(policyName string) *limits { return &limits{policyName: policyName} }

// Admit implements entry.Limits.
func (l *limits) Admit(team config.Team, kind config.Kind, estimate float64) (func(float64), time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.policy == nil {
		return func(float64) {}, 0, true
	}
	r, ok, after := l.policy.Admit(time.Now(), team, kind, estimate)
	if !ok {
		return nil, after, false
	}
	return func(actual float64) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.policy.Settle(time.Now(), r, actual)
	}, 0, true
}

// configure sets the node's share of the capacity of all engines, in tokens or
// requests per second.
func (l *limits) configure(x *config.Index, nodes int) {
	tokens := 0.0
	for _, s := range x.Document().Servers {
		if s.Type == config.Engine && s.StepMS > 0 {
			tokens += float64(s.Slots) * 1000 / s.StepMS
		}
	}
	capacity := limitSlack * tokens / float64(max(1, nodes))
	l.mu.Lock()
	defer l.mu.Unlock()
	if capacity == l.capacity {
		return
	}
	l.capacity = capacity
	switch p := l.policy.(type) {
	case *limit.ByCost:
		p.Reconfigure(limit.Settings{Capacity: capacity})
	case *limit.ByRequests:
		p.Reconfigure(limit.Settings{Capacity: capacity / assumedTokens})
	default:
		l.policy = newPolicy(l.policyName, capacity)
	}
}

// newPolicy returns a policy by name, or nil for LimitNone.
func newPolicy(kind string, capacity float64) limit.Policy {
	switch kind {
	case LimitCost:
		return limit.NewByCost(limit.Settings{Capacity: capacity})
	case LimitRequests:
		return limit.NewByRequests(limit.Settings{Capacity: capacity / assumedTokens})
	}
	return nil
}

// text formats the value of a log field.
func text(f zap.Field) string {
	switch f.Type {
	case zapcore.StringType:
		return f.String
	case zapcore.DurationType:
		return time.Duration(f.Integer).String()
	case zapcore.BoolType:
		return strconv.FormatBool(f.Integer == 1)
	default:
		return strconv.FormatInt(f.Integer, 10)
	}
}
