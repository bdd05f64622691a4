package member

import "time"

// Status is the belief about whether a node is alive.
type Status uint8

// Type is the type of a message.
type Type uint8

const (
	// Alive means that the node answers.
	Alive Status = iota
	// Suspect means that the node has recently not answered.
	Suspect
	// Dead means that the node has not answered within the suspicion timeout.
	Dead
	// Left means that the node has announced that it stops.
	Left
)

const (
	// Ping requests an Ack.
	Ping Type = iota
	// Ack answers a Ping.
	Ack
	// PingRequest requests that the receiver pings Target on behalf of the sender.
	PingRequest
	// Gossip carries records and requests no reply.
	Gossip
	// Sync carries the versions of all records of the sender.
	Sync
	// SyncReply carries the records that the receiver lacks and the keys of those that the sender
	// requests.
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
	extraRetransmits      = 2 // in addition to those derived from the number of nodes
	transientRetransmits  = 3 // pushes of a transient entry
	syncPerRecord         = 50 * time.Millisecond
	defaultIndirect       = 2
	defaultMessageBytes   = 1100
	deadProbeInterval     = 8 // rounds per probe of a dead node, on average
)

type (
	// Node is the record that a node distributes about itself. Incarnation and Sequence order the
	// records of one name; only the node itself increases them.
	Node struct {
		Name          string `cbor:"1,keyasint"`
		Address       string `cbor:"2,keyasint"` // IP:port for peers
		Operator      string `cbor:"3,keyasint"` // IP:port for operators
		DataCentre    string `cbor:"4,keyasint"`
		Incarnation   uint64 `cbor:"5,keyasint"` // increases with every start
		Sequence      uint64 `cbor:"6,keyasint"` // increases within an incarnation
		Status        Status `cbor:"7,keyasint"` // as believed by the sender
		Leaving       bool   `cbor:"8,keyasint"` // accepts no new work
		ConfigVersion uint64 `cbor:"9,keyasint"`
		ConfigHash    string `cbor:"10,keyasint"`
		Fresh         bool   `cbor:"11,keyasint"` // whether the configuration was confirmed since the last pause
		// Noticed lists the VMs whose departure this node was the first to observe.
		Noticed []string `cbor:"12,keyasint,omitempty"`
	}

	// Entry is a small value that is distributed to all nodes. Of two entries with the same key,
	// the one with the greater (Major, Minor) is kept.
	Entry struct {
		Key   string `cbor:"1,keyasint"`
		Major uint64 `cbor:"2,keyasint"`
		Minor uint64 `cbor:"3,keyasint"`
		Value []byte `cbor:"4,keyasint"`
		// Transient marks an entry that will soon be replaced. It is pushed three times, which
		// reaches 95 of 100 nodes; the others receive it later.
		Transient bool `cbor:"5,keyasint,omitempty"`
	}

	// Version is the version of an entry, or of a node record if the key has the prefix "node/".
	Version struct {
		Key   string `cbor:"1,keyasint"`
		Major uint64 `cbor:"2,keyasint"`
		Minor uint64 `cbor:"3,keyasint"`
	}

	// Message is a message from one node to another.
	Message struct {
		Type     Type      `cbor:"1,keyasint"`
		From     Node      `cbor:"2,keyasint"`
		Sequence uint64    `cbor:"3,keyasint"`           // sequence of a probe
		Target   string    `cbor:"4,keyasint,omitempty"` // target of a PingRequest, or of the Ack that answers it
		Nodes    []Node    `cbor:"5,keyasint,omitempty"`
		Entries  []Entry   `cbor:"6,keyasint,omitempty"`
		Versions []Version `cbor:"7,keyasint,omitempty"`
		Wanted   []string  `cbor:"8,keyasint,omitempty"`
	}

	// Envelope is a message with its destination.
	Envelope struct {
		Address string
		Message Message
	}

	// Settings configures a State. Zero fields take the defaults.
	Settings struct {
		ProbePeriod    time.Duration // time between probes, default 1 s
		ProbeTimeout   time.Duration // time until indirect probes, default 300 ms
		SuspectTimeout time.Duration // time from suspect to dead, default 2 s
		GossipPeriod   time.Duration // time between pushes of changes, default 200 ms
		JoinPeriod     time.Duration // time between attempts to contact seeds that are not live, default 2 s
		SyncPeriod     time.Duration // time between full syncs, default 10 s, longer with more than 200 records
		ForgetAfter    time.Duration // time until a dead node is removed, default 1 min
		Fanout         int           // peers per push, default 2
		Retransmit     int           // factor of log2(n+1) pushes per change, to which two are added, default 1
		Neighbours     int           // nodes to probe and push to, default 8
		Indirect       int           // peers asked for an indirect ping, default 2
		MessageBytes   int           // size of the pushed changes per message, default 1100
	}
)

// newer reports whether n replaces o of the same name.
func (n Node) newer(o Node) bool {
	if n.Incarnation != o.Incarnation {
		return n.Incarnation > o.Incarnation
	}
	if n.Sequence != o.Sequence {
		return n.Sequence > o.Sequence
	}
	return n.Status > o.Status
}

// Newer reports whether e replaces o of the same key.
func (e Entry) Newer(o Entry) bool {
	if e.Major != o.Major {
		return e.Major > o.Major
	}
	return e.Minor > o.Minor
}

// WithDefaults returns s with defaults for zero fields.
func (s Settings) WithDefaults() Settings {
	orDuration(&s.ProbePeriod, defaultProbePeriod)
	orDuration(&s.ProbeTimeout, defaultProbeTimeout)
	orDuration(&s.SuspectTimeout, defaultSuspectTimeout)
	orDuration(&s.GossipPeriod, defaultGossipPeriod)
	orDuration(&s.JoinPeriod, defaultJoinPeriod)
	orDuration(&s.SyncPeriod, defaultSyncPeriod)
	orDuration(&s.ForgetAfter, defaultForget)
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
