package admission

import "time"

const (
	// integralGain and derivativeGain weigh the excess of the delay and its growth, per second of delay and observation.
	integralGain   = 0.2
	derivativeGain = 1.25
	// decay is the factor of the probability at an observation far below the target, so that it halves in half a second at 25 ms.
	decay = 0.97
	// maxDelay bounds the delay that is taken into account, so that one long stall doesn't reject requests for seconds.
	maxDelay = 200 * time.Millisecond
	// maxProbability leaves some requests, whose delays show the end of the overload.
	maxProbability = 0.95
)

// Controller derives the probability of rejection from a queueing delay that is observed at regular intervals. Its exported fields are set
// before the first observation.
type Controller struct {
	Target time.Duration // delay at which the probability stays as it is

	probability float64
	last        time.Duration
}

// Observe records the present queueing delay.
func (c *Controller) Observe(delay time.Duration) {
	delay = min(delay, maxDelay)
	c.probability += integralGain*(delay-c.Target).Seconds() + derivativeGain*(delay-c.last).Seconds()
	if 2*delay < c.Target && 2*c.last < c.Target {
		c.probability *= decay
	}
	c.last = delay
	c.probability = max(0, min(maxProbability, c.probability))
}

// Probability returns the probability of rejection, from 0 to below 1.
func (c *Controller) Probability() float64 { return c.probability }
