package status

import "guavapaddle/core/view"

// NodeState tells what a node is seen to do.
type NodeState string

const (
	// Live means that the node answers and takes requests.
	Live NodeState = "live"
	// Leaving means that the node finishes what it has and takes no more.
	Leaving NodeState = "leaving"
	// Silent means that the node has not been heard of for a while.
	Silent NodeState = "silent"
)

type (
	// Node is one node as the reporting node knows it.
	Node struct {
		Name          string    `json:"name"`
		Address       string    `json:"address"` // IP:port of its operator endpoint
		DataCentre    string    `json:"data-centre"`
		State         NodeState `json:"state"`
		ConfigVersion uint64    `json:"config-version"` // zero if it has none yet
	}

	// Lease is a lease on a backend server.
	Lease struct {
		Server    string `json:"server"`
		Holder    string `json:"holder"` // node name
		Epoch     uint64 `json:"epoch"`
		ExpiresIn int64  `json:"expires-in-ms"` // by the holder's own clock
	}

	// Report is what one node knows, itself included in Nodes.
	Report struct {
		Node          string        `json:"node"`
		Ready         bool          `json:"ready"`
		Fresh         bool          `json:"fresh"` // the configuration was checked since the last pause
		ConfigVersion uint64        `json:"config-version"`
		ConfigHash    string        `json:"config-hash"`
		TableUp       bool          `json:"table-up"`
		Nodes         []Node        `json:"nodes"`
		Servers       []view.Server `json:"backend-servers"`
		Leases        []Lease       `json:"leases"`
	}
)

// NotAt returns the live nodes of r that report a version below version.
func (r Report) NotAt(version uint64) []Node {
	var behind []Node
	for _, n := range r.Nodes {
		if n.State == Live && n.ConfigVersion < version {
			behind = append(behind, n)
		}
	}
	return behind
}
