// Package workload makes the load that experiments run: what a deployment has
// and serves, and which requests arrive when.
//
// # Method
//
// Each model and adapter has a popularity by Zipf's law and is on or off in
// turns of exponential length; on, it is asked for BurstFactor times as often
// as off. All rates together are scaled so that the mean work that arrives is
// Load of what the accelerators can do. Arrivals are a Poisson process of the
// resulting rates, open loop: they don't wait for answers. Prompts begin with
// one of a few prefixes of their item. Teams' shares follow Zipf's law too.
//
// The capacity is that of full batches: slots / step(slots) tokens a second
// for each engine, less the processing of prompts that no cache has.
//
// # Usage
//
//	d := workload.Corella()
//	arrivals := workload.Generate(workload.Settings{Deployment: d, Load: 0.8, Duration: 30 * time.Second}, seed)
//
// The same settings and seed give the same arrivals.
package workload
