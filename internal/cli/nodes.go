package cli

import (
	"context"
	"flag"

	"guavapaddle/core/config"
	"guavapaddle/core/status"
	"guavapaddle/io/operator"
)

// nodes are the operator endpoints that a command may ask.
type nodes struct {
	addresses list
	clients   []*operator.Client
	last      int // index of the client that answered last
}

// define defines the flag.
func (n *nodes) define(fs *flag.FlagSet) {
	fs.Var(&n.addresses, "nodes", "`addresses` (IP:port) of nodes' operator endpoints, separated by commas; the next is tried if one doesn't answer")
}

// require makes the clients and refuses an empty list.
func (n *nodes) require() error {
	if len(n.addresses) == 0 {
		return &UsageError{Problem: "flag -nodes is required"}
	}
	for _, a := range n.addresses {
		n.clients = append(n.clients, &operator.Client{Address: a})
	}
	return nil
}

// status returns the report of the first node that answers, beginning with the
// one that did last time. The error is a *NoNodeError.
func (n *nodes) status(ctx context.Context) (status.Report, error) {
	var errs []error
	for range n.clients {
		r, err := n.clients[n.last].Status(ctx)
		if err == nil {
			return r, nil
		}
		errs = append(errs, err)
		n.last = (n.last + 1) % len(n.clients)
	}
	return status.Report{}, &NoNodeError{Errs: errs}
}

// inForce returns the document that a node has in force and its version.
func (n *nodes) inForce(ctx context.Context) (*config.Document, uint64, error) {
	r, err := n.status(ctx)
	if err != nil {
		return nil, 0, err
	}
	if r.ConfigVersion == 0 {
		return nil, 0, nil
	}
	body, err := n.clients[n.last].Config(ctx, r.ConfigHash)
	if err != nil {
		return nil, 0, err
	}
	doc, err := config.Parse(body)
	return doc, r.ConfigVersion, err
}
