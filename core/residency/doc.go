// Package residency decides which models each model engine holds.
//
// # Method
//
// Every declared model has one copy as far as there is room. The other places
// go to the models in use in proportion to their load, by the method of
// highest averages (D'Hondt): each place goes to the model with the most load
// for each copy that it would then have. What the engines hold is moved
// towards that one copy at a time, and only where a copy serves at least
// Gain times the load that it serves now; a model that is asked for and has no
// copy goes first and needs no such gain.
//
// Where models outnumber places a last copy makes room for a model that is asked for
// more, and the claim of a model grows while it is asked for without a copy, so that all
// get their turn.
//
// The load of a model is the slots that its streams take, learned from those that
// ended (SlotTimes).
//
// Before there is demand, the copies of a model tell what it will be (Prior), and
// busy copies that stand beside each other are spread over the engines.
//
// Free room is filled from memory and disk first. A model is loaded where it is in
// host memory or on disk if it can be, since such a load takes a fifth of the time
// and nothing of the weight store's budget. Loads from the store are metered over all
// engines. Room that was made for a model is kept for it until it is loaded.
//
// The memory of an engine is counted as the sum of what it holds, what it may
// be loading, and room for a full set of adapters; an order that got no answer
// keeps its memory until the engine says more.
//
// # Usage
//
//	moves := residency.Plan(residency.Input{Engine: engine, Servers: servers, Load: load})
//	for _, m := range moves { order(m) }
package residency
