package member

import "time"

// Status tells whether a node is believed to live.
type Status uint8

// Type tells what a message is for.
type Type uint8

const (
	// Alive means that the node answers.
	Alive Status = iota
	// Suspect means that the node did not answer lately.
	Suspect
	// Dead means that the node did not answer for the suspicion timeout.
	Dead
	// Left means that the node said that it stops.
	Left
)

const (
	// Ping asks for an Ack.
	Ping Type = iota
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to ping Target for the sender.
	PingRequest
	// Gossip carries records and asks for nothing.
	Gossip
	// Sync carries the versions of all records that the sender has.
	Sync
	// SyncReply carries records that the receiver lacks and names those
	// that the sender wants.
	SyncReply
)

const (
	defaultProbePeriod    = time.Second
	defaultProbeTimeout   = 300 * time.Millisecond
	defaultSuspectTimeout = 2 * time.Second
	defaultGossipPeriod   = 200 * time.Millisecond
	defaultJoinPeriod     = 2 * time.Second
	defaultSyncPeriod     = 10 * time.Second
	defaultForget         = time.Minute
	defaultFanout         = 2
	defaultRetransmit     = 1
	defaultNeighbours     = 8
	spareRetransmits      = 2 // beyond what the count of nodes asks for
	lightRetransmits      = 3 // of a light entry
	syncPerRecord         = 50 * time.Millisecond
	defaultIndirect       = 2
	defaultMessageBytes   = 1100
	deadProbeShare        = 8 // one probe in so many goes to a dead node
)

type (
	// Node is what a node says of itself. Incarnation and Sequence order the
	// records of one name; only the node itself raises them.
	Node struct {
		Name          string `cbor:"1,keyasint"`
		Address       string `cbor:"2,keyasint"` // IP:port for peers
		Operator      string `cbor:"3,keyasint"` // IP:port for operators
		DataCentre    string `cbor:"4,keyasint"`
		Incarnation   uint64 `cbor:"5,keyasint"` // higher at every start
		Sequence      uint64 `cbor:"6,keyasint"` // counts up within an incarnation
		Status        Status `cbor:"7,keyasint"` // what the sender believes
		Leaving       bool   `cbor:"8,keyasint"` // takes no new work
		ConfigVersion uint64 `cbor:"9,keyasint"`
		ConfigHash    string `cbor:"10,keyasint"`
		Fresh         bool   `cbor:"11,keyasint"` // the configuration was confirmed since the last pause
		// Noticed names the VMs that the node was the first to see leave.
		Noticed []string `cbor:"12,keyasint,omitempty"`
	}

	// Entry is a small value that nodes spread. Of two entries of one key the
	// one with the greater (Major, Minor) counts.
	Entry struct {
		Key   string `cbor:"1,keyasint"`
		Major uint64 `cbor:"2,keyasint"`
		Minor uint64 `cbor:"3,keyasint"`
		Value []byte `cbor:"4,keyasint"`
		// Light marks an entry that soon has a successor: it is pushed three
		// times, which reaches 95 in 100 nodes, and the rest learn it later.
		Light bool `cbor:"5,keyasint,omitempty"`
	}

	// Version names an entry, or a node record for keys with prefix "node/",
	// without its value.
	Version struct {
		Key   string `cbor:"1,keyasint"`
		Major uint64 `cbor:"2,keyasint"`
		Minor uint64 `cbor:"3,keyasint"`
	}

	// Message is what one node tells another.
	Message struct {
		Type     Type      `cbor:"1,keyasint"`
		From     Node      `cbor:"2,keyasint"`
		Sequence uint64    `cbor:"3,keyasint"`           // of a probe
		Target   string    `cbor:"4,keyasint,omitempty"` // of a PingRequest
		Nodes    []Node    `cbor:"5,keyasint,omitempty"`
		Entries  []Entry   `cbor:"6,keyasint,omitempty"`
		Versions []Version `cbor:"7,keyasint,omitempty"`
		Wanted   []string  `cbor:"8,keyasint,omitempty"`
	}

	// Send is a message and where to.
	Send struct {
		Address string
		Message Message
	}

	// Settings of a State. The zero value works.
	Settings struct {
		ProbePeriod    time.Duration // between probes, default 1 s
		ProbeTimeout   time.Duration // until indirect probes, default 300 ms
		SuspectTimeout time.Duration // from suspect to dead, default 2 s
		GossipPeriod   time.Duration // between pushes of changes, default 200 ms
		JoinPeriod     time.Duration // between tries to reach seeds that are not live, default 2 s
		SyncPeriod     time.Duration // between full comparisons, default 10 s, longer for more than 200 records
		Forget         time.Duration // until a dead node is dropped, default 1 min
		Fanout         int           // peers a push goes to, default 2
		Retransmit     int           // pushes a change, times log2(n+1) and two more, default 1
		Neighbours     int           // nodes that a node probes and pushes to, default 8
		Indirect       int           // peers asked to ping for us, default 2
		MessageBytes   int           // size of pushed changes a message, default 1100
	}
)

// newer tells whether n replaces o, both of the same name.
func (n Node) newer(o Node) bool {
	if n.Incarnation != o.Incarnation {
		return n.Incarnation > o.Incarnation
	}
	if n.Sequence != o.Sequence {
		return n.Sequence > o.Sequence
	}
	return n.Status > o.Status
}

// Newer tells whether e replaces o, both of the same key.
func (e Entry) Newer(o Entry) bool {
	if e.Major != o.Major {
		return e.Major > o.Major
	}
	return e.Minor > o.Minor
}

// WithDefaults returns s with the defaults for what is zero.
func (s Settings) WithDefaults() Settings {
	orDuration(&s.ProbePeriod, defaultProbePeriod)
	orDuration(&s.ProbeTimeout, defaultProbeTimeout)
	orDuration(&s.SuspectTimeout, defaultSuspectTimeout)
	orDuration(&s.GossipPeriod, defaultGossipPeriod)
	orDuration(&s.JoinPeriod, defaultJoinPeriod)
	orDuration(&s.SyncPeriod, defaultSyncPeriod)
	orDuration(&s.Forget, defaultForget)
	orInt(&s.Fanout, defaultFanout)
	orInt(&s.Retransmit, defaultRetransmit)
	orInt(&s.Neighbours, defaultNeighbours)
	orInt(&s.Indirect, defaultIndirect)
	orInt(&s.MessageBytes, defaultMessageBytes)
	return s
}

func orDuration(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

func orInt(i *int, v int) {
	if *i == 0 {
		*i = v
	}
}
