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
		Kind           config.Kind // Kind.Repeatable selects retries or at-most-once
		Service        string      // name of the plain service
		Method         string
		Path           string // escaped, as the caller sent it, with the query if any
		Header         http.Header
		Body           []byte
		IdempotencyKey string    // empty if the caller gave none
		RequestID      string    // unique, echoed by the backend server
		Deadline       time.Time // zero means now plus the kind's deadline
	}

	// Response is what the caller gets when the outcome is done.
	Response struct {
		Status int
		Header http.Header
		Body   []byte
		Server string // name of the backend server that answered
		Stored bool   // stored by an earlier call with the same key
	}

	// Servers picks backend servers of plain services.
	Servers interface {
		// Pick returns a live server of the service that accepts new work,
		// preferring servers that are not in avoid. It returns false if there is
		// none. The caller calls done once when the call has ended, with nil or
		// the error of Send.
		Pick(service string, avoid []string) (s config.BackendServer, done func(*outcome.Error), found bool)
	}

	// Backend sends a call to a backend server exactly once, over a connection
	// on which the HTTP library can't resend it.
	Backend interface {
		// Send returns the whole response or an *outcome.Error. The outcome is
		// refused-not-run if no byte was written (reason backend-unreachable) or
		// the server confirmed that the call did not run (backend-refused), and
		// unknown in every other case.
		Send(ctx context.Context, s config.BackendServer, r Request) (Response, error)
	}

	// Claims stores claims; *claims.Store implements it.
	Claims interface {
		Claim(ctx context.Context, c claims.Call) (claims.Grant, error)
		Finish(h claim.Held, a claim.Answer)
		MarkUnknown(h claim.Held, r outcome.Reason)
		Release(h claim.Held)
	}

	// Suspects decides whether a request that may crash servers runs;
	// *suspects.Guard implements it.
	Suspects interface {
		Begin(ctx context.Context, fp suspect.Fingerprint, server string, own bool) (suspects.Run, error)
		Succeeded(r suspects.Run)
		NotRun(r suspects.Run)
		Crashed(ctx context.Context, r suspects.Run, bootID string)
	}

	// Prober reports whether a server accepts connections. A crashed server does
	// not.
	Prober interface {
		Alive(ctx context.Context, s config.BackendServer) bool
	}
)
