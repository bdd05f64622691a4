package call

import (
	"context"
	"net/http"
	"time"

	"guavapaddle/core/config"
)

type (
	// Request is one call of a plain service by a customer.
	Request struct {
		Customer       string
		Kind           config.Kind // its Repeatable decides how the call is treated
		Service        string      // name of the plain service
		Method         string
		Path           string // escaped, below the service's path, with query if any
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
		// called once when the call has ended; ok is false if the server
		// could not be reached or lost the call.
		Pick(service string, avoid []string) (s config.BackendServer, done func(ok bool), found bool)
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
)
