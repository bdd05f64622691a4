// Package report summarizes the results of the requests of an experiment as
// statistics, tables and plots.
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
// Attainment is the fraction of all arrived requests that were completed, with the
// whole response, before their deadline. Value attainment weights each request by its
// value. Latencies are measured from the intended send time of a request, so that the
// delays of a slow system which accepts requests late are included (no coordinated
// omission).
package report
