package fault

import (
	"net/http"
	"time"
)

type (
	// deafWriter takes an answer and loses it.
	deafWriter struct {
		header http.Header
	}

	// lateWriter holds an answer back.
	lateWriter struct {
		http.ResponseWriter
		request *http.Request
		delay   time.Duration
		waited  bool
	}
)

// Header returns a header that goes nowhere.
func (w *deafWriter) Header() http.Header { return w.header }

// WriteHeader does nothing.
func (w *deafWriter) WriteHeader(int) {}

// Write fails, so that streams end.
func (w *deafWriter) Write([]byte) (int, error) { return 0, http.ErrAbortHandler }

// WriteHeader writes the status after the delay.
func (w *lateWriter) WriteHeader(status int) {
	w.wait()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes after the delay.
func (w *lateWriter) Write(b []byte) (int, error) {
	w.wait()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *lateWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// wait waits once for the delay.
func (w *lateWriter) wait() {
	if w.waited {
		return
	}
	w.waited = true
	t := time.NewTimer(w.delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.request.Context().Done():
	}
}
