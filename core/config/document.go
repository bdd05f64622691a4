package config

import "guavapaddle/core/backend"

// Urgency is the scheduling class of a kind of work.
type Urgency string

// ServerType distinguishes engines from plain services.
type ServerType string

const (
	// Urgent work is scheduled before all other work.
	Urgent Urgency = "urgent"
	// Normal work is scheduled before deferrable work.
	Normal Urgency = "normal"
	// Deferrable work uses the capacity that is left over.
	Deferrable Urgency = "deferrable"
)

const (
	// Engine is a backend server that runs models.
	Engine ServerType = "engine"
	// Service is a backend server that runs a plain service.
	Service ServerType = "service"
)

type (
	// Document is the complete configuration, applied as a whole.
	Document struct {
		Deployment string          `json:"deployment"`
		Teams      []Team          `json:"teams"`
		Kinds      []Kind          `json:"kinds"`
		Models     []Model         `json:"models"`
		Adapters   []Adapter       `json:"adapters" config:"optional"`
		Services   []PlainService  `json:"services" config:"optional"`
		Servers    []BackendServer `json:"backend-servers"`
		Limits     Limits          `json:"limits" config:"optional"`
		Placement  Placement       `json:"placement" config:"optional"`
	}

	// Team is a group of callers, with its API keys and permissions.
	Team struct {
		Name        string   `json:"name"`
		KeyHashes   []string `json:"key-hashes"`                 // "sha256:" and 64 hex digits each
		Models      []string `json:"models" config:"optional"`   // names of models and adapters; "*" for all
		Services    []string `json:"services" config:"optional"` // names of plain services
		Kinds       []string `json:"kinds"`                      // allowed kinds of work
		DefaultKind string   `json:"default-kind"`               // kind of a request that names none
		Weight      float64  `json:"weight" config:"optional"`   // relative share of capacity under overload
	}

	// Kind is a kind of work, with its urgency, value and deadline.
	Kind struct {
		Name       string  `json:"name"`
		Urgency    Urgency `json:"urgency"`
		Value      float64 `json:"value"`       // value of one request completed within its deadline
		DeadlineMS int64   `json:"deadline-ms"` // from arrival to the last token
		Repeatable bool    `json:"repeatable"`  // false: at most once
	}

	// Model is a model and the version to be served.
	Model struct {
		Name          string `json:"name"`
		Version       string `json:"version"`
		Bytes         int64  `json:"bytes"`
		LoadPeakBytes int64  `json:"load-peak-bytes" config:"optional"` // additional memory while loading
		MinCopies     int    `json:"min-copies" config:"optional"`      // at least 1
	}

	// Adapter is an adapter of a model. Requests address it by its own name.
	Adapter struct {
		Name          string `json:"name"`
		Model         string `json:"model"`
		Version       string `json:"version"`
		Bytes         int64  `json:"bytes"`
		LoadPeakBytes int64  `json:"load-peak-bytes" config:"optional"`
		MinCopies     int    `json:"min-copies" config:"optional"`
	}

	// PlainService is an HTTP service that doesn't run models.
	PlainService struct {
		Name  string `json:"name"`
		Path  string `json:"path"` // prefix of its paths, starts and ends with "/"
		Calls []Call `json:"calls"`
	}

	// Call assigns calls of a service to a kind of work. The first match applies.
	Call struct {
		Method string `json:"method"`
		Path   string `json:"path"` // prefix below the service's path
		Kind   string `json:"kind"`
	}

	// BackendServer is a server that runs models or a plain service.
	BackendServer struct {
		Name            string     `json:"name"`
		Type            ServerType `json:"type"`
		Service         string     `json:"service" config:"optional"` // for type service
		Address         string     `json:"address"`                   // IP:port
		DataCentre      string     `json:"data-centre"`
		MemoryBytes     int64      `json:"memory-bytes" config:"optional"`
		KVReserveBytes  int64      `json:"kv-reserve-bytes" config:"optional"`
		ChecksOrders    bool       `json:"checks-orders" config:"optional"` // rejects orders with outdated fencing numbers
		OrderLifetimeMS int64      `json:"order-lifetime-ms" config:"optional"`
		Slots           int        `json:"slots"` // maximum number of concurrent requests
		StepMS          float64    `json:"step-ms" config:"optional"`
	}

	// Limits bounds request sizes, queues, retries and concurrent weight loads.
	Limits struct {
		BodyBytes       int64   `json:"body-bytes" config:"optional"`
		HeaderBytes     int     `json:"header-bytes" config:"optional"`
		StreamsPerNode  int     `json:"streams-per-node" config:"optional"`
		IdleMS          int64   `json:"idle-ms" config:"optional"`
		QueuePerServer  int     `json:"queue-per-server" config:"optional"`
		RetryShare      float64 `json:"retry-share" config:"optional"`       // retries allowed per successful first attempt
		WeightLoads     int     `json:"weight-loads" config:"optional"`      // concurrent loads at full speed
		WeightLoadsRate float64 `json:"weight-loads-rate" config:"optional"` // loads per second
	}

	// Placement holds the parameters of placing copies on engines.
	Placement struct {
		MovePrice      float64 `json:"move-price" config:"optional"`       // minimum gain in value that justifies a move
		MinResidenceMS int64   `json:"min-residence-ms" config:"optional"` // minimum time before a copy may be unloaded
		PeriodMS       int64   `json:"period-ms" config:"optional"`        // interval between placement plans
	}
)

// Item returns the model's item at the version to be served.
func (m Model) Item() backend.Item { return backend.Item{Name: m.Name, Version: m.Version} }

// Item returns the adapter's item at the version to be served.
func (a Adapter) Item() backend.Item {
	return backend.Item{Name: a.Name, Version: a.Version, Base: a.Model}
}
