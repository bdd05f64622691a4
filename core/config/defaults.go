package config

import "encoding/json"

const (
	// DefaultMinCopies is the min-copies of a model or adapter that omits it.
	DefaultMinCopies = 1
	// DefaultWeight is the weight of a team that omits it.
	DefaultWeight = 1.0
)

// DefaultLimits returns the limits that apply where a document omits them.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:       1 << 20,
		HeaderBytes:     32 << 10,
		StreamsPerNode:  1024,
		IdleMS:          60_000,
		QueuePerServer:  64,
		RetryShare:      0.1,
		WeightLoads:     4,
		WeightLoadsRate: 2,
	}
}

// DefaultPlacement returns the placement parameters that apply where a document
// omits them.
func DefaultPlacement() Placement {
	return Placement{MovePrice: 1, MinResidenceMS: 60_000, PeriodMS: 1000}
}

// UnmarshalJSON decodes a team; omitted fields get their defaults.
func (t *Team) UnmarshalJSON(b []byte) error {
	type plain Team
	p := plain{Weight: DefaultWeight}
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	*t = Team(p)
	return nil
}

// UnmarshalJSON decodes a model; omitted fields get their defaults.
func (m *Model) UnmarshalJSON(b []byte) error {
	type plain Model
	p := plain{MinCopies: DefaultMinCopies}
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	*m = Model(p)
	return nil
}

// UnmarshalJSON decodes an adapter; omitted fields get their defaults.
func (a *Adapter) UnmarshalJSON(b []byte) error {
	type plain Adapter
	p := plain{MinCopies: DefaultMinCopies}
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	*a = Adapter(p)
	return nil
}
