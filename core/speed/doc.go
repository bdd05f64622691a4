// Package speed estimates how much longer work takes at a backend server than at the usual server of its service.
//
// # Method
//
// The estimate of a server has two parts:
//
//   - The pace that the server reports with its load. It changes many times a second and holds for ReportTTL. After that the
//     mean of the paces of the last seconds is used, which has the part of them that lasts.
//   - The lasting factor, learned from the times of the server's own requests: the time to read a prompt token and
//     the time between events. Each sample is divided by the pace reported with it, and compared with the median of the other
//     servers that run the same model, so that the size of a model doesn't count as the speed of a server.
//
// Some servers slow down when they are nearly full, so samples with a fill of at least NearlyFull are compared with samples
// of that fill only, and have a factor of their own.
//
// The logarithm of the lasting factor follows its samples by an exponential average, whose weight is at least
// minWeight. No sample moves it by more than its weight. The factor is drawn towards 1 by its confidence, which grows with the
// number of samples and falls with their age. Without samples the factor is 1 and the confidence 0.
//
// A server that restarts under its id begins with the zero Server.
//
// # Usage
//
//	var b speed.Baselines
//	s := speed.Server{}.WithReport(now, 2.5)
//	sample := speed.Sample{Server: "i-1", Work: speed.Work{Service: "drafter", Model: "m", Kind: speed.Prefill}, Unit: 50e-6}
//	s = b.Learn(now, s, sample)
//	e := s.Estimate(now, fill)
//	wait *= e.Factor
//
// A Server is an immutable value. Baselines are not safe for concurrent use.
package speed
