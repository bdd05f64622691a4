package config

import "encoding/json"

const (
	// DefaultMinCopies is a model's or adapter's min-copies if it is omitted.
	DefaultMinCopies = 1
	// DefaultWeight is a team's weight if it is omitted.
	DefaultWeight = 1.0
)

// DefaultLimits returns the limits of a document that omits them.
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

// DefaultPlacement returns the placement of a document that omits it.
func DefaultPlacement() Placement {
	return Placement{MovePrice: 1, MinResidenceMS: 60_000, PeriodMS: 1000}
}

// UnmarshalJSON reads a team over its defaults.
func (c *Team) UnmarshalJSON(b []byte) error {
	type plain Team
	p := plain{Weight: DefaultWeight}
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	*c = Team(p)
	return nil
}

// UnmarshalJSON reads a model over its defaults.
func (m *Model) UnmarshalJSON(b []byte) error {
	type plain Model
	p := plain{MinCopies: DefaultMinCopies}
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	*m = Model(p)
	return nil
}

// UnmarshalJSON reads an adapter over its defaults.
func (a *Adapter) UnmarshalJSON(b []byte) error {
	type plain Adapter
	p := plain{MinCopies: DefaultMinCopies}
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	*a = Adapter(p)
	return nil
}
