package status

import "guavapaddle/core/view"

// NodeState is the state of a node as seen by the reporting node.
type NodeState string

const (
	// Live means that the node replies and accepts requests.
	Live NodeState = "live"
	// Leaving means that the node completes its open requests and accepts no new
	// ones.
	Leaving NodeState = "leaving"
	// Silent means that nothing has been received from the node for some time.
	Silent NodeState = "silent"
)

type (
	// Node is the state of a node as seen by the reporting node.
	Node struct {
		Name          string    `json:"name"`
		Address       string    `json:"address"` // IP:port of its operator endpoint
		DataCentre    string    `json:"data-centre"`
		State         NodeState `json:"state"`
		ConfigVersion uint64    `json:"config-version"` // zero if it has none yet
	}

	// Lease describes a lease on a backend server.
	Lease struct {
		Server    string `json:"server"`
		Holder    string `json:"holder"` // node name
		Epoch     uint64 `json:"epoch"`
		ExpiresIn int64  `json:"expires-in-ms"` // measured on the holder's clock
	}

	// Report is one node's view of the cluster. Nodes includes the node itself.
	Report struct {
		Node          string        `json:"node"`
		Ready         bool          `json:"ready"`
		Fresh         bool          `json:"fresh"` // the configuration was confirmed since the node started or last paused
		ConfigVersion uint64        `json:"config-version"`
		ConfigHash    string        `json:"config-hash"`
		TableUp       bool          `json:"table-up"`
		Nodes         []Node        `json:"nodes"`
		Servers       []view.Server `json:"backend-servers"`
		Leases        []Lease       `json:"leases"`
	}
)

// Behind returns the live nodes of r whose configuration version is below version.
func (r Report) Behind(version uint64) []Node {
	var behind []Node
	for _, n := range r.Nodes {
		if n.State == Live && n.ConfigVersion < version {
			behind = append(behind, n)
		}
	}
	return behind
}
