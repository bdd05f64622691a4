package report

// PlotError reports that a plot could not be drawn or written.
type PlotError struct {
	File string // empty if the error does not concern the file
	Err  error
}

// Error names the file and the cause.
func (e *PlotError) Error() string { return "report: plot " + e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *PlotError) Unwrap() error { return e.Err }
