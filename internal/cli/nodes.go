package cli

import (
	"context"
	"flag"

	"guavapaddle/core/config"
	"guavapaddle/core/status"
	"guavapaddle/io/operator"
)

// nodes holds the operator endpoints that a command may query.
type nodes struct {
	addresses listFlag
	clients   []*operator.Client
	preferred int // index of the client to try first: the last one that answered
}

// define registers the flag -nodes.
func (n *nodes) define(fs *flag.FlagSet) {
	fs.Var(&n.addresses, "nodes", "`addresses` (IP:port) of nodes' operator endpoints, separated by commas; the next is tried if one doesn't answer")
}

// require creates the clients. The error is a *UsageError if no address is given.
func (n *nodes) require() error {
	if len(n.addresses) == 0 {
		return &UsageError{Problem: "flag -nodes is required"}
	}
	for _, a := range n.addresses {
		n.clients = append(n.clients, &operator.Client{Address: a})
	}
	return nil
}

// status returns the report of the first node that answers, starting with the
// node that answered the previous call. The error is a *NoNodeError.
func (n *nodes) status(ctx context.Context) (status.Report, error) {
	var errs []error
	for range n.clients {
		r, err := n.clients[n.preferred].Status(ctx)
		if err == nil {
			return r, nil
		}
		errs = append(errs, err)
		n.preferred = (n.preferred + 1) % len(n.clients)
	}
	return status.Report{}, &NoNodeError{Errs: errs}
}

// inForce returns the document in force on the node that answers, and its
// version. The document is nil and the version zero if the node has none.
func (n *nodes) inForce(ctx context.Context) (*config.Document, uint64, error) {
	r, err := n.status(ctx)
	if err != nil {
		return nil, 0, err
	}
	if r.ConfigVersion == 0 {
		return nil, 0, nil
	}
	body, err := n.clients[n.preferred].Config(ctx, r.ConfigHash)
	if err != nil {
		return nil, 0, err
	}
	doc, err := config.Parse(body)
	return doc, r.ConfigVersion, err
}
