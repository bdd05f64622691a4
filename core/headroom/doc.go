// Package headroom plans how many slots of each engine are kept free for urgent requests, while deferrable requests
// of the same service wait.
//
// # Method
//
// A Meter records the arrivals of urgent requests for each model and the time for which they take a slot. By Little's
// law a model with r arrivals a second and a slot time of t seconds has r*t requests at once. They are spread over the
// model's holders, and summed over the models that an engine holds. The sum is scaled by the peak of the service's
// arrivals within Window relative to their mean. Arrivals that don't depend on each other vary by the square root
// of their number, so Swing standard deviations are added.
//
// The slots kept are bounded: OpenShare of an engine's slots stays open to deferrable requests however much urgent
// work arrives. Until enough arrivals have been recorded, FixedShare of the slots is kept. When engines end, a plan made
// from the holders left spreads the same work over them.
//
// # Usage
//
//	var m headroom.Meter
//	m.Arrived(now, "llm", "m1")
//	m.Ended("llm", "m1", slotTime)
//	p := m.Plan(now, "llm", holders)
//	kept := p.Kept("server-1", 16, urgentRunning)
//
// Types are not safe for concurrent use.
package headroom
