package hub

import (
	"context"
	"time"

	"guavapaddle/io/peer"
)

// Kinds of frames.
const (
	kindReport  peer.Kind = 1
	kindPicture peer.Kind = 2
	kindWant    peer.Kind = 3
	kindOffer   peer.Kind = 4
)

type (
	// Want asks the holder for a model or adapter at once.
	Want struct {
		Service string
		Model   string
		Adapter string
		Lacks   []string // servers that said of late that they don't hold it
	}

	// Offer tells where it is, or that it isn't to be had now.
	Offer struct {
		Found  bool
		Server string // incarnation
		Why    string
	}

	// Client speaks to the holder of the lease.
	Client struct {
		Endpoint *peer.Endpoint
	}

	// Holder answers other nodes.
	Holder interface {
		Report(r Report) Picture
		Want(ctx context.Context, w Want) Offer
	}
)

// Exchange reports to the holder and returns its picture.
func (c *Client) Exchange(ctx context.Context, address string, r Report) (Picture, error) {
	var p Picture
	err := c.call(ctx, address, kindReport, r, &p)
	return p, err
}

// Want asks the holder for a model or adapter.
func (c *Client) Want(ctx context.Context, address string, w Want) (Offer, error) {
	var o Offer
	err := c.call(ctx, address, kindWant, w, &o)
	return o, err
}

// call sends one frame and reads one back.
func (c *Client) call(ctx context.Context, address string, k peer.Kind, in, out any) error {
	f, err := peer.Encode(k, in)
	if err != nil {
		return err
	}
	s, err := c.Endpoint.Open(ctx, address, f)
	if err != nil {
		return err
	}
	defer s.CancelRead()
	_ = s.Close()
	if at, ok := ctx.Deadline(); ok {
		s.ReadBy(at)
	}
	a, err := s.Read()
	if err != nil {
		c.Endpoint.Renew(address)
		return err
	}
	return a.Decode(out)
}

// Serve answers one call of another node.
func Serve(ctx context.Context, h Holder, f peer.Frame, s *peer.Stream) {
	defer s.CancelRead()
	defer func() { _ = s.Close() }()
	var answer peer.Frame
	var err error
	switch f.Kind {
	case kindReport:
		var r Report
		if f.Decode(&r) != nil {
			return
		}
		answer, err = peer.Encode(kindPicture, h.Report(r))
	case kindWant:
		var w Want
		if f.Decode(&w) != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, wantTimeout)
		defer cancel()
		answer, err = peer.Encode(kindOffer, h.Want(ctx, w))
	default:
		return
	}
	if err == nil {
		_ = s.Write(answer) // the caller sees that nothing came
	}
}

// wantTimeout bounds the work on one Want: an adapter takes up to some hundred
// milliseconds from a busy store.
const wantTimeout = time.Second
