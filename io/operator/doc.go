// Package operator implements the operator endpoint of a node and a client for it.
//
//	GET /healthz                   200 while the process runs
//	GET /readyz                    200 if the node accepts requests, else 503 with the reason
//	GET /metrics                   metrics in the Prometheus text format
//	GET /operator/v1/status        status.Report
//	GET /operator/v1/explain/ID    status.Explanation, 404 if the request is unknown
//	GET /operator/v1/config/HASH   the canonical document in force, 404 if its hash differs
//
// The endpoint has no authentication: it must listen on an address that only operators can
// reach. It exposes key hashes, as part of the document, but never keys or request bodies.
//
// # Usage
//
//	h := &operator.Handler{Readiness: n, Reporter: n, Explainer: recorder, Bodies: follower}
//	http.Handle("/", h)
//
//	c := &operator.Client{Address: "127.0.0.1:7001"}
//	report, err := c.Status(ctx)
package operator
