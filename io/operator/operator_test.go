package operator_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/core/status"
	"guavapaddle/io/operator"
)

var errDraining = errors.New("draining")

// fakeNode is a node with a settable readiness and document.
type fakeNode struct {
	ready error
	body  []byte
}

func (f *fakeNode) Ready() error { return f.ready }

func (f *fakeNode) Status() status.Report { return status.Report{Node: "n1", ConfigVersion: 7} }

func (f *fakeNode) Explain(id string) (status.Explanation, bool) {
	if !strings.HasPrefix(id, "known") {
		return status.Explanation{}, false
	}
	return status.Explanation{RequestID: id, Events: []status.Event{{Node: "n1", Event: "done"}}}, true
}

func (f *fakeNode) Body(hash string) ([]byte, bool) {
	return f.body, hash == config.HashBytes([]byte(`{}`))
}

// serve starts a server for a node and returns its address.
func serve(t *testing.T, f *fakeNode) string {
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewCounter(prometheus.CounterOpts{Name: "guavapaddle_test_total", Help: "Test."}))
	server := httptest.NewServer(&operator.Handler{Readiness: f, Reporter: f, Explainer: f, Bodies: f, Gatherer: registry})
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestHealthReadinessAndMetrics(t *testing.T) {
	f := &fakeNode{}
	address := serve(t, f)
	get := func(path string) (int, string) {
		r, err := http.Get("http://" + address + path)
		require.NoError(t, err)
		defer func() { _ = r.Body.Close() }()
		b, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		return r.StatusCode, string(b)
	}
	code, text := get("/readyz")
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, "ok\n", text)
	f.ready = errDraining
	code, text = get("/readyz")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Equal(t, "draining\n", text)
	code, _ = get("/healthz")
	require.Equal(t, http.StatusOK, code, "a node that drains is healthy")
	_, text = get("/metrics")
	require.Contains(t, text, "guavapaddle_test_total 0")
	code, _ = get("/operator/v1/other")
	require.Equal(t, http.StatusNotFound, code)
}

func TestClientAndHandler(t *testing.T) {
	f := &fakeNode{body: []byte(`{}`)}
	c := &operator.Client{Address: serve(t, f)}
	r, err := c.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(7), r.ConfigVersion)

	e, err := c.Explain(t.Context(), "known/with slash")
	require.NoError(t, err)
	require.Equal(t, "known/with slash", e.RequestID)
	_, err = c.Explain(t.Context(), "other")
	require.True(t, operator.NotFound(err), err)

	body, err := c.Config(t.Context(), config.HashBytes([]byte(`{}`)))
	require.NoError(t, err)
	require.Equal(t, `{}`, string(body))
	f.body = []byte(`{"forged":1}`)
	_, err = c.Config(t.Context(), config.HashBytes([]byte(`{}`)))
	require.Error(t, err)
	require.False(t, operator.NotFound(err))

	_, err = (&operator.Client{Address: "127.0.0.1:1"}).Status(t.Context())
	var failure *operator.Error
	require.ErrorAs(t, err, &failure)
	require.Zero(t, failure.Status)
}
