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
	// Readiness tells whether the node takes requests.
	Readiness interface {
		// Ready returns nil, or why the node takes none.
		Ready() error
	}

	// Reporter tells what the node knows.
	Reporter interface {
		Status() status.Report
	}

	// Explainer tells what was decided about a request.
	Explainer interface {
		Explain(requestID string) (status.Explanation, bool)
	}

	// Bodies gives the document in force by its hash.
	Bodies interface {
		Body(hash string) ([]byte, bool)
	}

	// Handler answers operators. Its exported fields are set before the first
	// request; a nil Gatherer is the default one.
	Handler struct {
		Readiness Readiness
		Reporter  Reporter
		Explainer Explainer
		Bodies    Bodies
		Gatherer  prometheus.Gatherer

		once sync.Once
		mux  *http.ServeMux
	}

	// failure is the body of an answer that is not what was asked for.
	failure struct {
		Error string `json:"error"`
	}
)

// ServeHTTP answers one request.
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
	text(w, http.StatusOK, "ok\n")
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.Readiness.Ready(); err != nil {
		text(w, http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	text(w, http.StatusOK, "ok\n")
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, h.Reporter.Status())
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	e, ok := h.Explainer.Explain(r.PathValue("id"))
	if !ok {
		write(w, http.StatusNotFound, failure{Error: "nothing is known of this request"})
		return
	}
	write(w, http.StatusOK, e)
}

func (h *Handler) config(w http.ResponseWriter, r *http.Request) {
	body, ok := h.Bodies.Body(r.PathValue("hash"))
	if !ok {
		write(w, http.StatusNotFound, failure{Error: "this hash is not in force here"})
		return
	}
	w.Header().Set(contentType, jsonType)
	_, _ = w.Write(body)
}

// write sends v as JSON. A broken connection is the asker's matter.
func write(w http.ResponseWriter, code int, v any) {
	w.Header().Set(contentType, jsonType)
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

func text(w http.ResponseWriter, code int, s string) {
	w.Header().Set(contentType, textType)
	w.WriteHeader(code)
	_, _ = w.Write([]byte(s))
}
