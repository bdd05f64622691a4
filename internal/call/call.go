package call

import (
	"context"
	"net/http"
	"time"

	"guavapaddle/core/claim"
	"guavapaddle/core/config"
	"guavapaddle/core/outcome"
	"guavapaddle/core/suspect"
	"guavapaddle/internal/claims"
	"guavapaddle/internal/suspects"
)

type (
	// Request is one call of a plain service by a team.
	Request struct {
		Team           string
		Kind           config.Kind // its Repeatable decides how the call is treated
		Service        string      // name of the plain service
		Method         string
		Path           string // escaped, whole as the caller sent it, with query if any
		Header         http.Header
		Body           []byte
		IdempotencyKey string    // empty if the caller gave none
		RequestID      string    // unique, echoed by the backend server
		Deadline       time.Time // zero: now plus the kind's deadline
	}

	// Answer is what the caller is told when the outcome is done.
	Answer struct {
		Status int
		Header http.Header
		Body   []byte
		Server string // name of the backend server that answered
		Stored bool   // the answer of an earlier call with the same key
	}

	// Servers picks backend servers of plain services.
	Servers interface {
		// Pick returns a live server of the service that takes new work,
		// those not in avoid first, and false if there is none at all. done is
		// called once when the call has ended, with nil or what Send returned.
		Pick(service string, avoid []string) (s config.BackendServer, done func(*outcome.Error), found bool)
	}

	// Backend sends a call to a backend server, once, on a connection that
	// can't make the library send it again.
	Backend interface {
		// Send returns the whole answer, or an *outcome.Error: refused-not-run
		// if no byte was written (reason backend-unreachable) or the server
		// affirmed that it did not run (backend-refused), unknown in every
		// other case.
		Send(ctx context.Context, s config.BackendServer, r Request) (Answer, error)
	}

	// Claims keeps claims; *claims.Store is one.
	Claims interface {
		Claim(ctx context.Context, c claims.Call) (claims.Grant, error)
		Finish(h claim.Held, a claim.Answer)
		MarkUnknown(h claim.Held, r outcome.Reason)
		Release(h claim.Held)
	}

	// Suspects decides which requests run that may crash servers;
	// *suspects.Guard is one.
	Suspects interface {
		Begin(ctx context.Context, fp suspect.Fingerprint, server string, own bool) (suspects.Run, error)
		Succeeded(r suspects.Run)
		NotRun(r suspects.Run)
		Crashed(ctx context.Context, r suspects.Run, bootID string)
	}

	// Prober tells whether a server takes connections, which one that crashed
	// does not.
	Prober interface {
		Alive(ctx context.Context, s config.BackendServer) bool
	}
)
