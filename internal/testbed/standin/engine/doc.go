// Package engine is a stand-in for a model engine. It uses continuous batching:
// each step generates one token for every request in the batch whose prefill is
// complete. It loads items into simulated accelerator memory and unloads them,
// optionally checks fencing numbers, and applies the faults of package fault.
//
// The output for a request is a function of the item and the prompt (see Token), so
// that a test can compute the response that a client must receive.
//
// The memory, the batch and the prefix cache are state machines without clocks or
// goroutines. The Engine drives them with one goroutine for the steps and one for
// each load.
//
// # Usage
//
//	e := &engine.Engine{Name: "e1", MemoryBytes: 100, Step: time.Millisecond, ChecksOrders: true}
//	address, err := e.Start()
//	defer e.Close()
//	e.Preload(item, 40)
//	want := engine.ExpectedTokens(item, "prompt", 8)
//	e.Faults.SetFaults(fault.Faults{CutStreams: 1, CutAfter: 3})
package engine
