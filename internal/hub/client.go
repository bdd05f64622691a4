package hub

import (
	"context"
	"time"

	"guavapaddle/core/balance"
	"guavapaddle/io/peer"
)

// Kinds of frames.
const (
	kindReport  peer.Kind = 1
	kindPicture peer.Kind = 2
	kindWant    peer.Kind = 3
	kindOffer   peer.Kind = 4
	kindPlace   peer.Kind = 5
	kindPlaced  peer.Kind = 6
	kindRelease peer.Kind = 7
	kindQueued  peer.Kind = 8
	kindBegun   peer.Kind = 9
	kindRate    peer.Kind = 10
)

// AckTimeout bounds the wait for the first answer to a Place: that it is
// granted, refused or queued. It takes some 3 ms. By its reports alone a node
// notices a holder that is frozen or cut off after 1.3 s, by when half of the
// requests of that time are late for a target of 0.6 s.
const AckTimeout = 250 * time.Millisecond

type (
	// Want asks the holder for a model or adapter at once.
	Want struct {
		Item
		Lacks   []string // servers that said of late that they don't hold it
		Exclude []string // servers that requests for it exclude
	}

	// Place asks the holder for a place at an engine. Its answer comes when the
	// request may begin; the caller then says when its answer begins, and with a
	// Released how it ended.
	Place struct {
		Item
		Request  string // id, for the log
		Tokens   int    // of the prompt
		Parts    []balance.Segment
		Zone     string
		Exclude  []string // servers not to be picked
		Lacks    []string // servers that said of late that they don't hold the item
		Priority int
		Waited   time.Duration // since the request came
		Target   time.Duration // from now until it should have begun
		Expire   time.Duration // from now until it must have begun
		Charge   Charge        // of the team's quota, zero if that is done
	}

	// Charge is what a request takes of its team's quota.
	Charge struct {
		Team string
		Cost float64
	}

	// Placed answers a Place.
	Placed struct {
		Granted bool
		Server  string // incarnation
		Granter int64  // who counts it until its end
		Wait    time.Duration
		Why     string
		After   time.Duration // when a refused client may come back
	}

	// Grant is a place that was granted, or a wait that ended. Done must be called
	// once.
	Grant interface {
		NamedRate(perSecond *float64) // the answer's server names a rate, or nil for no longer
		Begun()                       // the prompt is read, the answer has begun
		Done(r balance.Result)        // the send has ended
	}

	// Released ends a place that was granted.
	Released struct{ Result balance.Result }

	// Rated tells of the rate that a server names in an answer.
	Rated struct{ PerSecond *float64 }

	// Offer tells where it is, or that it isn't to be had now.
	Offer struct {
		Found  bool
		Server string // incarnation
		Why    string
	}

	// Client speaks to the holder of the lease.
	Client struct {
		Endpoint *peer.Endpoint
		Heard    func() // the holder answered; nil for nobody
	}

	// SilentError means that the holder gave no sign of life within AckTimeout.
	SilentError struct{ Address string }

	// Holder answers other nodes.
	Holder interface {
		Report(r Report) Picture
		Want(ctx context.Context, w Want) Offer
		// Place calls queued if the request has to wait.
		Place(ctx context.Context, p Place, queued func()) (Placed, Grant, error)
	}
)

// Error tells the holder's address.
func (e *SilentError) Error() string { return "hub: no answer from " + e.Address }

// Pick returns what a pick depends on.
func (p Place) Pick() balance.Request {
	r := balance.Request{Service: p.Service, Model: p.Model, Adapter: p.Adapter, Tokens: p.Tokens, Segments: p.Parts, Zone: p.Zone}
	if len(p.Exclude) > 0 {
		r.Exclude = make(map[string]bool, len(p.Exclude))
		for _, id := range p.Exclude {
			r.Exclude[id] = true
		}
	}
	return r
}

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

// Place asks the holder for a place.
func (c *Client) Place(ctx context.Context, address string, p Place) (Placed, Grant, error) {
	f, err := peer.Encode(kindPlace, p)
	if err != nil {
		return Placed{}, nil, err
	}
	s, err := c.Endpoint.Open(ctx, address, f)
	if err != nil {
		return Placed{}, nil, err
	}
	stop := context.AfterFunc(ctx, s.Cancel)
	a, err := c.placed(s, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	var answer Placed
	if err == nil {
		err = a.Decode(&answer)
	}
	if err != nil {
		s.Cancel()
		return Placed{}, nil, err
	}
	return answer, &streamGrant{s}, nil
}

// streamGrant tells the holder on the stream of the request for the place.
type streamGrant struct{ s *peer.Stream }

// NamedRate implements Grant.
func (g *streamGrant) NamedRate(perSecond *float64) {
	f, err := peer.Encode(kindRate, Rated{perSecond})
	if err != nil || g.s.Write(f) != nil {
		g.s.Cancel()
	}
}

// Begun implements Grant.
func (g *streamGrant) Begun() {
	if g.s.Write(peer.Frame{Kind: kindBegun}) != nil {
		g.s.Cancel()
	}
}

// Done implements Grant. If the result can't be told the end of the stream frees
// the place all the same.
func (g *streamGrant) Done(r balance.Result) {
	f, err := peer.Encode(kindRelease, Released{r})
	if err == nil {
		err = g.s.Write(f)
	}
	if err != nil {
		g.s.Cancel()
		return
	}
	_ = g.s.Close()
	g.s.CancelRead()
}

// placed reads the answer to a Place.
func (c *Client) placed(s *peer.Stream, address string) (peer.Frame, error) {
	until := time.Now().Add(AckTimeout)
	s.ReadBy(until)
	f, err := c.read(s)
	if err != nil && !time.Now().Before(until) {
		return f, &SilentError{Address: address}
	}
	if err != nil || f.Kind != kindQueued {
		return f, err
	}
	s.ReadBy(time.Time{})
	return c.read(s)
}

// read reads a frame and tells that the holder lives.
func (c *Client) read(s *peer.Stream) (peer.Frame, error) {
	f, err := s.Read()
	if err == nil && c.Heard != nil {
		c.Heard()
	}
	return f, err
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
	a, err := c.read(s)
	if err != nil {
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
	case kindPlace:
		servePlace(ctx, h, f, s)
		return
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

// servePlace answers one Place and holds what was granted until it is released
// or the stream ends.
func servePlace(ctx context.Context, h Holder, f peer.Frame, s *peer.Stream) {
	var p Place
	if f.Decode(&p) != nil {
		return
	}
	queued := func() { _ = s.Write(peer.Frame{Kind: kindQueued}) } // a write that fails ends ctx
	placed, grant, err := h.Place(ctx, p, queued)
	if err != nil {
		s.Cancel()
		return
	}
	result := balance.Abandoned
	defer func() { grant.Done(result) }()
	answer, err := peer.Encode(kindPlaced, placed)
	if err != nil || s.Write(answer) != nil || !placed.Granted {
		return
	}
	s.ReadBy(time.Now().Add(placeLife))
	for {
		f, err := s.Read()
		if err != nil {
			return
		}
		switch f.Kind {
		case kindRate:
			var r Rated
			if f.Decode(&r) != nil {
				return
			}
			grant.NamedRate(r.PerSecond)
		case kindBegun:
			grant.Begun()
			s.ReadBy(time.Now().Add(runLife))
		case kindRelease:
			var r Released
			if f.Decode(&r) == nil {
				result = r.Result
			}
			return
		default:
			return
		}
	}
}

const (
	// placeLife bounds how long a place is held for a node that doesn't say more.
	placeLife = 10 * time.Second
	// runLife bounds how long a stream counts; the longest deadline is 30 s.
	runLife = time.Minute
)
