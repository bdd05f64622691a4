// Package report turns what happened to the requests of an experiment into
// figures, tables and plots.
//
// # Usage
//
//	r := &report.Recorder{Accelerators: 12}
//	r.Add(report.Request{...})
//	s := r.Summary(meta)
//	s.WriteTable(os.Stdout)
//	err := s.WritePlot("run.png")
//	err = report.Compare(runs).WriteTable(os.Stdout)
//
// Attainment is the part of the requests that ended whole before their
// deadline, of all that arrived. Value attainment weighs each by its value.
// Times count from the moment at which the load meant a request to be sent, so
// that a slow system can't hide its delays by taking requests late.
package report
