package tunnel

import "guavapaddle/io/peer"

// Kind is the kind of the first frame of a tunnel. The numbers of kinds are part of the protocol between nodes.
const Kind peer.Kind = 32

const (
	kindReply peer.Kind = 33
	kindData  peer.Kind = 34
	// maxChunk is the maximum number of bytes in a frame of kind kindData.
	maxChunk = 16 << 10
)

// Reasons for which a node refuses a tunnel.
const (
	// NoPath means that the callee may have lost its own path to the servers, or is stopping.
	NoPath Reason = "no-path"
	// Busy means that the callee serves as many tunnels as it may.
	Busy Reason = "busy"
	// Unreachable means that the callee, which reaches other servers, doesn't reach this one.
	Unreachable Reason = "unreachable"
	// Silent means that the callee didn't respond. It is never sent.
	Silent Reason = "silent"
)

type (
	// Reason is the reason for which a node refuses a tunnel.
	Reason string

	// RefusedError reports that a node has refused to open a connection.
	RefusedError struct {
		Reason Reason
		Detail string
	}

	// NoPeerError reports that there is no node through which a connection could be opened.
	NoPeerError struct{ Address string }

	// openRequest asks for a connection to a server.
	openRequest struct{ Address string }

	// openReply is the reply to an openRequest.
	openReply struct {
		Refused Reason // empty if the connection is open
		Detail  string
	}
)

// Error implements error.
func (e *RefusedError) Error() string { return "tunnel: " + string(e.Reason) + ": " + e.Detail }

// Error implements error.
func (e *NoPeerError) Error() string { return "tunnel: no node to reach " + e.Address + " through" }
