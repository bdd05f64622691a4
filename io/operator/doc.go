// Package operator serves a node's operator endpoint, and asks it.
//
//	GET /healthz                   200 while the process runs
//	GET /readyz                    200 if the node takes requests, else 503 with the reason
//	GET /metrics                   Prometheus text
//	GET /operator/v1/status        status.Report
//	GET /operator/v1/explain/ID    status.Explanation, 404 if nothing is known
//	GET /operator/v1/config/HASH   the canonical document in force, 404 if it has another hash
//
// The endpoint has no keys: it belongs on an address that only operators
// reach. It shows key hashes (in the document) and never keys or bodies.
//
// # Usage
//
//	h := &operator.Handler{Readiness: n, Reporter: n, Explainer: recorder, Bodies: follower}
//	http.Handle("/", h)
//
//	c := &operator.Client{Address: "127.0.0.1:7001"}
//	report, err := c.Status(ctx)
package operator
