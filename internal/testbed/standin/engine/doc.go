// Package engine is a stand-in for a model engine. It batches continuously:
// every step yields one token for each request in the batch whose prompt has
// been processed. It loads and unloads items in accelerator memory that it
// measures itself, checks fencing numbers if told to, and obeys the faults of
// package fault.
//
// The answer to a request is a function of item and prompt (Token), so that a
// test can compute what a caller must see.
//
// Memory, batch and prefix cache are state machines without clock and without
// goroutine; the Engine drives them with one goroutine for the steps and one
// for each load.
//
// # Usage
//
//	e := &engine.Engine{Name: "e1", MemoryBytes: 100, Step: time.Millisecond, ChecksOrders: true}
//	address, err := e.Start()
//	defer e.Close()
//	e.Preload(item, 40)
//	want := engine.Answer(item, "prompt", 8)
//	e.Faults.Put(fault.Faults{CutStreams: 1, CutAfter: 3})
package engine
