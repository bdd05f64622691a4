// Package residency decides which models each model engine holds.
//
// # Method
//
// Every declared model gets one copy as far as memory allows. The remaining places go to
// the models in use in proportion to their load, by the D'Hondt method of highest
// averages: each place goes to the model with the highest load per copy after the
// addition. The contents of the engines are moved towards that allocation one copy at a
// time, and only where the new copy serves at least MinGain times the cost of the eviction,
// which is the resulting load per remaining copy of the evicted model. A model with
// waiting requests and no copy goes first and need not reach that gain.
//
// Where there are more models than places, the last copy of a model may be evicted for a
// model with more demand. The load that a requested model is credited with grows while it
// has no copy, so that all requested models are served in turn.
//
// The load of a model is the number of slots that its streams occupy, estimated from
// completed streams (SlotTimes).
//
// Before there is any demand, the load of a model is assumed from its number of copies
// (PriorLoad), and copies of busy models that share an engine are spread over the engines.
//
// Free memory is filled from host memory and disk first. A model is loaded where it is in
// host memory or on disk if possible, since such a load takes a fifth of the time and uses
// none of the weight store's budget. Loads from the store are limited across all engines.
// Room that was made for a model is reserved until the model is loaded.
//
// The memory of an engine is counted as the sum of what it holds, what it may be loading,
// and a full set of adapters. An order without an answer keeps its memory accounted for
// until the engine reports its state.
//
// # Usage
//
//	moves := residency.Plan(residency.Input{Engine: engine, Servers: servers, Load: load})
//	for _, m := range moves { order(m) }
package residency
