// Package workload generates the load of experiments: the configuration of a
// deployment and the arrivals of its requests.
//
// # Method
//
// The popularity of the models and adapters follows Zipf's law. Each item alternates
// between on and off phases of exponentially distributed length; its request rate is
// BurstFactor times as high in an on phase. All rates are scaled so that the mean
// arriving work is the fraction Load of the capacity of the accelerators. Arrivals are
// an open-loop Poisson process with these rates: they don't wait for responses. Each
// prompt starts with one of a few prefixes of its item. The shares of the teams follow
// Zipf's law as well.
//
// The capacity is that of full batches: slots / step(slots) tokens per second for each
// engine, less the prefill of uncached prompt tokens.
//
// # Usage
//
//	d := workload.Corella()
//	arrivals := workload.Generate(workload.Settings{Deployment: d, Load: 0.8, Duration: 30 * time.Second}, seed)
//
// The same settings and seed give the same arrivals.
package workload
