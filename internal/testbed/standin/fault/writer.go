package fault

import (
	"net/http"
	"time"
)

type (
	// discardWriter discards the response.
	discardWriter struct {
		header http.Header
	}

	// delayedWriter delays the start of the response.
	delayedWriter struct {
		http.ResponseWriter
		request *http.Request
		delay   time.Duration
		waited  bool
	}
)

// Header returns a header that is never sent.
func (w *discardWriter) Header() http.Header { return w.header }

// WriteHeader does nothing.
func (w *discardWriter) WriteHeader(int) {}

// Write returns an error, so that handlers of streams return.
func (w *discardWriter) Write([]byte) (int, error) { return 0, http.ErrAbortHandler }

// WriteHeader writes the status code after the delay.
func (w *delayedWriter) WriteHeader(status int) {
	w.wait()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes the data after the delay.
func (w *delayedWriter) Write(b []byte) (int, error) {
	w.wait()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *delayedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// wait waits for the delay on its first call, or until the request is cancelled.
func (w *delayedWriter) wait() {
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
