// Package experiment runs a seeded load against complete nodes and stand-ins over real
// sockets and reports the results of the requests.
//
// # Method
//
// Package lab starts the platform, the engines and the nodes. The stand-ins run in the
// process of the experiment, and each node in a process of its own. The engines have an
// initial placement from the start, so that a run doesn't begin with a hundred loads.
// Requests are sent to the nodes through a load balancer that selects a random node for
// each attempt: a client retries a refused connection and resumes an interrupted stream
// with Last-Event-ID.
//
// Latencies are measured from the intended send time. Each response is compared with
// the tokens that the stand-in must generate. Loads are detected in the inventories of
// the engines. A run doesn't include the network delays between data centres and to
// clients, which would add at most twice Deployment.Delay per hop.
//
// # Usage
//
//	s := experiment.Settings{Deployment: workload.Corella(), Policy: "home", Seed: 1}
//	summary, err := s.Run(ctx)
package experiment
