package operator

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"guavapaddle/core/status"
)

const (
	statusPath  = "/operator/v1/status"
	explainPath = "/operator/v1/explain/"
	configPath  = "/operator/v1/config/"

	contentType = "Content-Type"
	jsonType    = "application/json"
	textType    = "text/plain; charset=utf-8"
)

type (
	// Readiness reports whether the node accepts requests.
	Readiness interface {
		// Ready returns nil, or the reason why the node accepts none.
		Ready() error
	}

	// Reporter returns the status of the node.
	Reporter interface {
		Status() status.Report
	}

	// Explainer returns the decisions recorded about a request.
	Explainer interface {
		Explain(requestID string) (status.Explanation, bool)
	}

	// ConfigBodies returns the document in force by its hash.
	ConfigBodies interface {
		Body(hash string) ([]byte, bool)
	}

	// Handler serves the operator endpoint. Its exported fields must be set before the first
	// request. A nil Gatherer selects the default one.
	Handler struct {
		Readiness Readiness
		Reporter  Reporter
		Explainer Explainer
		Bodies    ConfigBodies
		Gatherer  prometheus.Gatherer

		once sync.Once
		mux  *http.ServeMux
	}

	// failure is the body of an error response.
	failure struct {
		Error string `json:"error"`
	}
)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.once.Do(h.init)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) init() {
	g := h.Gatherer
	if g == nil {
		g = prometheus.DefaultGatherer
	}
	h.mux = http.NewServeMux()
	h.mux.HandleFunc("GET /healthz", h.health)
	h.mux.HandleFunc("GET /readyz", h.ready)
	h.mux.Handle("GET /metrics", promhttp.HandlerFor(g, promhttp.HandlerOpts{}))
	h.mux.HandleFunc("GET "+statusPath, h.status)
	h.mux.HandleFunc("GET "+explainPath+"{id}", h.explain)
	h.mux.HandleFunc("GET "+configPath+"{hash}", h.config)
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.Readiness.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	writeText(w, http.StatusOK, "ok\n")
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.Reporter.Status())
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	e, ok := h.Explainer.Explain(r.PathValue("id"))
	if !ok {
		writeJSON(w, http.StatusNotFound, failure{Error: "nothing is known of this request"})
		return
	}
	writeJSON(w, http.StatusOK, e)
}

func (h *Handler) config(w http.ResponseWriter, r *http.Request) {
	body, ok := h.Bodies.Body(r.PathValue("hash"))
	if !ok {
		writeJSON(w, http.StatusNotFound, failure{Error: "this hash is not in force here"})
		return
	}
	w.Header().Set(contentType, jsonType)
	_, _ = w.Write(body)
}

// writeJSON sends v as JSON. Errors are ignored: they mean that the client closed the
// connection.
func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set(contentType, jsonType)
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

func writeText(w http.ResponseWriter, code int, s string) {
	w.Header().Set(contentType, textType)
	w.WriteHeader(code)
	_, _ = w.Write([]byte(s))
}
