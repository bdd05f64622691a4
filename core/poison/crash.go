package poison

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BeginTime is how long after the first byte of a response a part of the prompt may still crash the server. A response that
	// lasts longer is sound, and a request whose response has lasted longer when the server crashes isn't the cause.
	BeginTime = time.Second
	// maxPartBytes bounds the length of a part's id. A longer one is represented by its hash.
	maxPartBytes = 32
	// copyPrefix begins the id of a whole request. Ids of parts of prompts have no colon.
	copyPrefix = "copy:"
	// AnyRequest is the part that all requests of a service have, in a Sound.
	AnyRequest Part = ""
)

type (
	// Part is the id of what several requests may have in common: a part of a prompt, or the whole request.
	Part string

	// Request is a request that was in flight at a server when it crashed, and whose response had not lasted BeginTime.
	Request struct {
		Parts  []Part        `json:"parts"`     // that other requests may share
		Before time.Duration `json:"before-ns"` // from its send until the crash
	}

	// Crash is one node's observation of a server's crash. It is immutable.
	Crash struct {
		ID      uint64 `json:"id"`     // of this observation, random
		Server  string `json:"server"` // incarnation that crashed
		Service string `json:"service"`
		// Age is the time since the crash, or since it was noticed if Late.
		Age      time.Duration `json:"age-ns"`
		Late     bool          `json:"late,omitempty"`
		Requests []Request     `json:"requests,omitempty"`
	}

	// Sound states that a server of a service began a response to a request with a part, and completed it or lived on for
	// BeginTime.
	Sound struct {
		Service string
		Part    Part
		Age     time.Duration // since the response began
	}

	// Block is a set of parts. Requests that have all of them are refused. It is immutable.
	Block struct {
		Parts   []Part        `json:"parts"`   // sorted
		Service string        `json:"service"` // at whose servers the last crash was
		Crashes int           `json:"crashes"` // that led to it
		Age     time.Duration `json:"age-ns"`  // since the last of them
		// Services are other services at whose servers such crashes were, and didn't end for another reason, sorted.
		Services []string `json:"services,omitempty"`
		// Provisional states that the servers may have ended for another reason: hardly any response of the service is known to have been
		// sound between the crashes, or one to the part was before.
		Provisional bool `json:"provisional,omitempty"`
		// Alone states that they may have, but that only copies of one request come.
		Alone bool `json:"alone,omitempty"`
		// Except are other services whose servers have shown responses to all parts to be sound since the first of these crashes.
		Except []string `json:"except,omitempty"`
		// Trials is how many requests were let through to find out whether they still crash servers, and Trial is set while
		// the leader grants a slot for the next one. TrialElsewhere is the same for services
		// that aren't among these.
		Trials         int  `json:"trials,omitempty"`
		Trial          bool `json:"trial,omitempty"`
		TrialElsewhere bool `json:"trial-elsewhere,omitempty"`
	}
)

// PartOf returns the part of a prompt with an id.
func PartOf(id string) Part {
	if len(id) <= maxPartBytes && !strings.Contains(id, ":") {
		return Part(id)
	}
	return Part("hash-" + strconv.FormatUint(xxhash.Sum64String(id), 16))
}

// SharedParts returns the parts with the given ids, in the order of a prompt, but for the last, which is the request's own.
func SharedParts(ids []string) []Part {
	if len(ids) < 2 {
		return nil
	}
	out := make([]Part, 0, len(ids)-1)
	for _, id := range ids[:len(ids)-1] {
		out = append(out, PartOf(id))
	}
	return out
}

// CopyOf returns the part that stands for a whole request, which copies of it share, by a hash of what they have in common.
func CopyOf(fingerprint uint64) Part { return Part(copyPrefix + strconv.FormatUint(fingerprint, 16)) }

// IsCopy reports whether the part stands for a whole request.
func (p Part) IsCopy() bool { return strings.HasPrefix(string(p), copyPrefix) }

// WithAge returns the crash with another age.
func (c Crash) WithAge(age time.Duration) Crash {
	c.Age = age
	return c
}

// WithAge returns the block with another age.
func (b Block) WithAge(age time.Duration) Block {
	b.Age = age
	return b
}

// Name returns the parts of the block, separated by commas.
func (b Block) Name() string {
	var name strings.Builder
	for i, p := range b.Parts {
		if i > 0 {
			name.WriteByte(',')
		}
		name.WriteString(string(p))
	}
	return name.String()
}

// OfCopies reports whether the block refuses copies of one request.
func (b Block) OfCopies() bool { return slices.ContainsFunc(b.Parts, Part.IsCopy) }

// Matches reports whether a request with the given parts has all parts of the block.
func (b Block) Matches(parts []Part) bool {
	for _, p := range b.Parts {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return len(b.Parts) > 0
}

// Refuses reports whether the block refuses a request to a service with the given parts.
func (b Block) Refuses(service string, parts []Part) bool {
	return !slices.Contains(b.Except, service) && b.Matches(parts)
}

// AllowsTrial reports whether the leader grants a slot to a request to a service that the block refuses, to find out whether it crashes servers.
func (b Block) AllowsTrial(service string) bool {
	return b.Trial || b.TrialElsewhere && b.Service != service && !slices.Contains(b.Services, service)
}

// FindMatch returns the first block that refuses a request to a service with the given parts, and whether there is one.
func FindMatch(blocks []Block, service string, parts []Part) (Block, bool) {
	for _, b := range blocks {
		if b.Refuses(service, parts) {
			return b, true
		}
	}
	return Block{}, false
}
