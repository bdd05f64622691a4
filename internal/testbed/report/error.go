package report

// PlotError tells that a plot could not be drawn or written.
type PlotError struct {
	File string // empty if it was not the file
	Err  error
}

// Error returns the file and the cause.
func (e *PlotError) Error() string { return "report: plot " + e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *PlotError) Unwrap() error { return e.Err }
