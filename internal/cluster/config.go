package cluster

import (
	"context"

	"guavapaddle/core/config/head"
	"guavapaddle/io/peer"
)

type (
	// configRequest requests the body with a hash or, if the hash is empty, only
	// the head.
	configRequest struct {
		Hash string `cbor:"1,keyasint"`
	}

	configReply struct {
		Body    []byte `cbor:"1,keyasint,omitempty"`
		Version uint64 `cbor:"2,keyasint,omitempty"` // in force at the replying node
		Hash    string `cbor:"3,keyasint,omitempty"`
		Fresh   bool   `cbor:"4,keyasint,omitempty"`
	}
)

// serveConfig sends another node the body of a configuration, or the head.
func (c *Cluster) serveConfig(f peer.Frame, s *peer.Stream) {
	var q configRequest
	if f.Decode(&q) != nil {
		return
	}
	var r configReply
	if q.Hash == "" {
		ref, fresh := c.ConfigHead()
		r.Version, r.Hash, r.Fresh = ref.Version, ref.Hash, fresh
	} else {
		body, ok := c.Config(q.Hash)
		if !ok {
			return
		}
		r.Body = body
	}
	reply, err := peer.Encode(KindConfig, r)
	if err == nil && s.Write(reply) == nil {
		_ = s.Close()
		s.Drain(sendTimeout)
	}
}

// FetchConfig requests the body of a configuration from a node.
func (c *Cluster) FetchConfig(ctx context.Context, node, hash string) ([]byte, error) {
	r, err := c.queryConfig(ctx, node, configRequest{Hash: hash})
	return r.Body, err
}

// QueryConfigHead queries a node for its configuration in force, and whether it is
// certain that none is newer. The reply reflects a time after the query was
// sent, never before.
func (c *Cluster) QueryConfigHead(ctx context.Context, node string) (ref head.Ref, fresh bool, err error) {
	r, err := c.queryConfig(ctx, node, configRequest{})
	return head.Ref{Version: r.Version, Hash: r.Hash}, r.Fresh, err
}

func (c *Cluster) queryConfig(ctx context.Context, node string, q configRequest) (configReply, error) {
	var r configReply
	n, ok := c.Node(node)
	if !ok {
		return r, &peer.Error{Kind: peer.Unreachable, Peer: node}
	}
	f, err := peer.Encode(KindConfig, q)
	if err != nil {
		return r, err
	}
	s, err := c.Endpoint.Open(ctx, n.Address, f)
	if err != nil {
		return r, err
	}
	defer s.Cancel()
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	f, err = s.Read()
	if err != nil {
		return r, err
	}
	err = f.Decode(&r)
	return r, err
}
