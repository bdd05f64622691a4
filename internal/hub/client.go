package hub

import (
	"context"
	"time"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/core/grant"
	"guavapaddle/core/poison"
	"guavapaddle/core/software"
	"guavapaddle/internal/lag"
	"guavapaddle/io/peer"
)

// Kinds of frames; their numbers are part of the protocol between nodes.
const (
	kindReport      peer.Kind = 1
	kindReportReply peer.Kind = 2
	kindLoadRequest peer.Kind = 3
	kindLoadReply   peer.Kind = 4
	kindSlotRequest peer.Kind = 5
	kindSlotReply   peer.Kind = 6
	kindRelease     peer.Kind = 7
	kindQueued      peer.Kind = 8
	kindPrefillDone peer.Kind = 9
	kindRateUpdate  peer.Kind = 10
	kindRecord      peer.Kind = 11
	kindRecorded    peer.Kind = 12
	kindOriginQuery peer.Kind = 13
	kindOriginReply peer.Kind = 14
)

// AckTimeout bounds the wait for the first reply to a SlotRequest, which reports whether the
// request is granted, refused or queued. It normally takes about 3 ms. By its reports alone
// a node detects a leader that is frozen or unreachable only after 1.3 s, by which time half
// of the requests of that interval have missed a target of 0.6 s.
const AckTimeout = 250 * time.Millisecond

type (
	// LoadRequest asks the leader to load a model or adapter immediately.
	LoadRequest struct {
		Item
		Lacks   []string // servers that recently responded that it isn't resident
		Exclude []string // servers that the waiting requests exclude
	}

	// SlotRequest asks the leader for a slot of an engine. The reply arrives when the
	// request may start or is refused. After a grant the caller reports the end of the
	// prefill, and the result of the request in a Release.
	SlotRequest struct {
		Item
		Request  string // request id, for the log
		Tokens   int    // length of the prompt
		Parts    []balance.Segment
		Copy     poison.Part // stands for the request itself
		Zone     string
		Exclude  []string // servers that must not be picked
		Lacks    []string // servers that recently responded that the item isn't resident
		Priority int
		Waited   time.Duration // since the request arrived
		Target   time.Duration // from now until it should have started
		Expire   time.Duration // from now until it must have started
		Charge   Charge        // to the team's quota, zero if already charged
		Entry    bool          // the requester doesn't know the entries of engines
		Class    grant.Class   // how the request competes with others
		Patience time.Duration // longest Retry-After that the client honours
		Team     string        // that sent the request, empty if the deployment has no teams
		Idle     []string      // servers to which the requester has an open idle connection
	}

	// Charge is the cost of a request, charged to its team's quota.
	Charge struct {
		Team string
		Cost float64
	}

	// SlotReply is the reply to a SlotRequest.
	SlotReply struct {
		Granted bool
		Server  string        // incarnation
		Entry   *fleet.Server // of the server if requested, without what it holds
		Granter int64         // granter that counts the request until it ends
		Wait    time.Duration
		Why     string
		Trial   bool          // the request is let through though a block refuses it
		After   time.Duration // when the client of a refused request may retry
	}

	// SlotGrant is a granted slot, or a wait that ended without one. Done must be
	// called exactly once.
	SlotGrant interface {
		SetRate(perSecond *float64)   // the server's response sets a rate limit, or removes it if nil
		SetLoad(l balance.LoadReport) // what the server reported, sent with PrefillDone or Done
		PrefillDone()                 // the prefill is done and the response has started
		Done(r balance.Result)        // the request has ended
	}

	// Release frees a granted slot.
	Release struct {
		Result balance.Result
		Load   *balance.LoadReport `cbor:",omitempty"` // that no frame before has carried
	}

	// RateUpdate carries the rate limit of a server's response, nil for none.
	RateUpdate struct{ PerSecond *float64 }

	// LoadReply is the reply to a LoadRequest: the server that holds the item, or the reason
	// why none does.
	LoadReply struct {
		Found  bool
		Server string // incarnation
		Why    string
	}

	// OriginQuery asks which version of the software of a service's servers began a stream.
	OriginQuery struct {
		Service string
		Stream  string // id of the client's request that brought the first event, empty if it isn't named
		// PassedOn means that a node that received the query from another one replies without asking others, unless it is a relay.
		PassedOn bool
	}

	// OriginReply is the reply to an OriginQuery.
	OriginReply struct {
		Known   bool
		Service string
		Version string
	}

	// Client calls the leader.
	Client struct {
		Endpoint *peer.Endpoint
		OnReply  func() // called for each frame received from the leader, may be nil
	}

	// AckTimeoutError means that the leader didn't reply within AckTimeout.
	AckTimeoutError struct{ Address string }

	// Leader serves the calls of other nodes.
	Leader interface {
		HandleReport(r Report) ReportReply
		RequestLoad(ctx context.Context, w LoadRequest) LoadReply
		// AcquireSlot waits for a slot, and calls queued if the request has to wait.
		AcquireSlot(ctx context.Context, p SlotRequest, queued func()) (SlotReply, SlotGrant, error)
		// RecordOrigin records the version that began a stream.
		RecordOrigin(ctx context.Context, o software.Origin) error
		// FindOrigin finds out which version began a stream.
		FindOrigin(ctx context.Context, q OriginQuery) (OriginReply, error)
	}
)

// SharedParts returns the parts of the request that other requests may share: those of its prompt but for the last, and the one that
// stands for the request itself.
func (q SlotRequest) SharedParts() []poison.Part {
	ids := make([]string, 0, len(q.Parts))
	for _, p := range q.Parts {
		ids = append(ids, p.ID)
	}
	out := poison.SharedParts(ids)
	if q.Copy != "" {
		out = append(out, q.Copy)
	}
	return out
}

// Error implements error.
func (e *AckTimeoutError) Error() string { return "hub: no reply from " + e.Address }

// PickRequest returns the request for which a server is picked.
func (q SlotRequest) PickRequest() balance.Request {
	r := balance.Request{Service: q.Service, Model: q.Model, Adapter: q.Adapter, Tokens: q.Tokens, Segments: q.Parts, Zone: q.Zone, Software: q.Software}
	r.Exclude, r.Idle = balance.IDSet(q.Exclude), balance.IDSet(q.Idle)
	return r
}

// Exchange reports to the leader and returns its reply.
func (c *Client) Exchange(ctx context.Context, address string, r Report) (ReportReply, error) {
	var reply ReportReply
	trip := lag.BeginRoundTrip(address)
	err := c.call(ctx, address, kindReport, r, &reply)
	trip.End(err == nil)
	return reply, err
}

// RequestLoad asks the leader to load a model or adapter.
func (c *Client) RequestLoad(ctx context.Context, address string, q LoadRequest) (LoadReply, error) {
	var reply LoadReply
	err := c.call(ctx, address, kindLoadRequest, q, &reply)
	return reply, err
}

// RecordOrigin has the leader record the version that began a stream.
func (c *Client) RecordOrigin(ctx context.Context, address string, o software.Origin) error {
	var done struct{}
	return c.call(ctx, address, kindRecord, o, &done)
}

// FindOrigin asks the leader which version began a stream.
func (c *Client) FindOrigin(ctx context.Context, address string, q OriginQuery) (OriginReply, error) {
	var reply OriginReply
	err := c.call(ctx, address, kindOriginQuery, q, &reply)
	return reply, err
}

// AcquireSlot asks the leader for a slot and waits until it is granted or refused.
func (c *Client) AcquireSlot(ctx context.Context, address string, q SlotRequest) (SlotReply, SlotGrant, error) {
	f, err := peer.Encode(kindSlotRequest, q)
	if err != nil {
		return SlotReply{}, nil, err
	}
	s, err := c.Endpoint.Open(ctx, address, f)
	if err != nil {
		return SlotReply{}, nil, err
	}
	stop := context.AfterFunc(ctx, s.Cancel)
	frame, err := c.readSlotReply(s, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	var reply SlotReply
	if err == nil {
		err = frame.Decode(&reply)
	}
	if err != nil {
		s.Cancel()
		return SlotReply{}, nil, err
	}
	return reply, &streamGrant{s: s}, nil
}

// streamGrant reports to the leader on the stream of the slot request.
type streamGrant struct {
	s    *peer.Stream
	load *balance.LoadReport // not sent yet
}

// SetRate implements SlotGrant.
func (g *streamGrant) SetRate(perSecond *float64) {
	f, err := peer.Encode(kindRateUpdate, RateUpdate{perSecond})
	if err != nil || g.s.Write(f) != nil {
		g.s.Cancel()
	}
}

// SetLoad implements SlotGrant.
func (g *streamGrant) SetLoad(l balance.LoadReport) { g.load = &l }

// PrefillDone implements SlotGrant. The frame has a body only if there is a load to send.
func (g *streamGrant) PrefillDone() {
	f := peer.Frame{Kind: kindPrefillDone}
	var err error
	if g.load != nil {
		f, err = peer.Encode(kindPrefillDone, g.load)
		g.load = nil
	}
	if err != nil || g.s.Write(f) != nil {
		g.s.Cancel()
	}
}

// Done implements SlotGrant. If the result can't be sent, the end of the stream frees
// the slot all the same.
func (g *streamGrant) Done(r balance.Result) {
	f, err := peer.Encode(kindRelease, Release{r, g.load})
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

// readSlotReply reads the reply to a SlotRequest.
func (c *Client) readSlotReply(s *peer.Stream, address string) (peer.Frame, error) {
	deadline := time.Now().Add(lag.Extend(AckTimeout))
	s.SetReadDeadline(deadline)
	trip := lag.BeginRoundTrip(address)
	f, err := c.readFrame(s)
	trip.End(err == nil)
	if err != nil && !time.Now().Before(deadline) {
		return f, &AckTimeoutError{Address: address}
	}
	if err != nil || f.Kind != kindQueued {
		return f, err
	}
	s.SetReadDeadline(time.Time{})
	return c.readFrame(s)
}

// readFrame reads a frame and calls OnReply.
func (c *Client) readFrame(s *peer.Stream) (peer.Frame, error) {
	f, err := s.Read()
	if err == nil && c.OnReply != nil {
		c.OnReply()
	}
	return f, err
}

// call sends one frame and decodes the reply to it.
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
	if deadline, ok := ctx.Deadline(); ok {
		s.SetReadDeadline(deadline)
	}
	frame, err := c.readFrame(s)
	if err != nil {
		return err
	}
	return frame.Decode(out)
}

// Serve handles one call of another node.
func Serve(ctx context.Context, h Leader, f peer.Frame, s *peer.Stream) {
	defer s.CancelRead()
	defer func() { _ = s.Close() }()
	var reply peer.Frame
	var err error
	switch f.Kind {
	case kindReport:
		var r Report
		if f.Decode(&r) != nil {
			return
		}
		reply, err = peer.Encode(kindReportReply, h.HandleReport(r))
	case kindLoadRequest:
		var q LoadRequest
		if f.Decode(&q) != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		reply, err = peer.Encode(kindLoadReply, h.RequestLoad(ctx, q))
	case kindSlotRequest:
		serveSlotRequest(ctx, h, f, s)
		return
	case kindRecord:
		var o software.Origin
		if f.Decode(&o) != nil || h.RecordOrigin(ctx, o) != nil {
			s.Cancel()
			return
		}
		reply, err = peer.Encode(kindRecorded, struct{}{})
	case kindOriginQuery:
		var q OriginQuery
		if f.Decode(&q) != nil {
			return
		}
		found, findErr := h.FindOrigin(ctx, q)
		if findErr != nil {
			s.Cancel()
			return
		}
		reply, err = peer.Encode(kindOriginReply, found)
	default:
		return
	}
	if err == nil {
		_ = s.Write(reply) // on failure the caller gets no reply
	}
}

// loadTimeout bounds the handling of one LoadRequest: loading an adapter from a busy store
// takes up to a few hundred milliseconds.
const loadTimeout = time.Second

// serveSlotRequest handles one SlotRequest and keeps the granted slot until it is released or
// the stream ends.
func serveSlotRequest(ctx context.Context, h Leader, f peer.Frame, s *peer.Stream) {
	var q SlotRequest
	if f.Decode(&q) != nil {
		return
	}
	queued := func() { _ = s.Write(peer.Frame{Kind: kindQueued}) } // a failed write cancels ctx
	reply, grant, err := h.AcquireSlot(ctx, q, queued)
	if err != nil {
		s.Cancel()
		return
	}
	result := balance.Abandoned
	defer func() { grant.Done(result) }()
	frame, err := peer.Encode(kindSlotReply, reply)
	if err != nil || s.Write(frame) != nil || !reply.Granted {
		return
	}
	s.SetReadDeadline(time.Now().Add(grantTimeout))
	for {
		f, err := s.Read()
		if err != nil {
			return
		}
		switch f.Kind {
		case kindRateUpdate:
			var r RateUpdate
			if f.Decode(&r) != nil {
				return
			}
			grant.SetRate(r.PerSecond)
		case kindPrefillDone:
			var l balance.LoadReport
			if len(f.Body) > 0 && f.Decode(&l) == nil {
				grant.SetLoad(l)
			}
			grant.PrefillDone()
			s.SetReadDeadline(time.Now().Add(maxRunTime))
		case kindRelease:
			var r Release
			if f.Decode(&r) == nil {
				result = r.Result
				if r.Load != nil {
					grant.SetLoad(*r.Load)
				}
			}
			return
		default:
			return
		}
	}
}

const (
	// grantTimeout bounds how long a slot is kept for a node that sends nothing more.
	grantTimeout = 10 * time.Second
	// maxRunTime bounds how long a request is counted as running after its prefill; the
	// longest deadline is 30 s.
	maxRunTime = time.Minute
)
