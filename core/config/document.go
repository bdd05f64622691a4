// Package config holds the configuration document that operators apply.
package config

import "guavapaddle/core/backend"

// Urgency orders kinds of work.
type Urgency string

// ServerType tells engines from plain services.
type ServerType string

const (
	// Urgent work goes before all other.
	Urgent Urgency = "urgent"
	// Normal work goes before deferrable work.
	Normal Urgency = "normal"
	// Deferrable work takes what is left.
	Deferrable Urgency = "deferrable"
)

const (
	// Engine is a backend server that runs models.
	Engine ServerType = "engine"
	// Service is a backend server that runs a plain service.
	Service ServerType = "service"
)

type (
	// Document is the whole configuration, applied at once.
	Document struct {
		Deployment string          `json:"deployment"`
		Customers  []Customer      `json:"customers"`
		Kinds      []Kind          `json:"kinds"`
		Models     []Model         `json:"models"`
		Adapters   []Adapter       `json:"adapters"`
		Services   []PlainService  `json:"services"`
		Servers    []BackendServer `json:"backend-servers"`
		Limits     Limits          `json:"limits"`
		Placement  Placement       `json:"placement"`
	}

	// Customer is one who calls, with its keys and what it may use.
	Customer struct {
		Name        string   `json:"name"`
		KeyHashes   []string `json:"key-hashes"`   // "sha256:" and 64 hex digits each
		Models      []string `json:"models"`       // names of models and adapters; "*" for all
		Services    []string `json:"services"`     // names of plain services
		Kinds       []string `json:"kinds"`        // allowed kinds of work
		DefaultKind string   `json:"default-kind"` // kind of a request that names none
		Weight      float64  `json:"weight"`       // share when overloaded
	}

	// Kind is a kind of work.
	Kind struct {
		Name       string  `json:"name"`
		Urgency    Urgency `json:"urgency"`
		Value      float64 `json:"value"`       // worth of one request done in time
		DeadlineMS int64   `json:"deadline-ms"` // from arrival to the last token
		Repeatable bool    `json:"repeatable"`  // false: at most once
	}

	// Model is a model and the version that is to serve.
	Model struct {
		Name          string `json:"name"`
		Version       string `json:"version"`
		Bytes         int64  `json:"bytes"`
		LoadPeakBytes int64  `json:"load-peak-bytes"` // extra while loading
		MinCopies     int    `json:"min-copies"`      // at least 1
	}

	// Adapter is an adapter of a model, called by its own name.
	Adapter struct {
		Name          string `json:"name"`
		Model         string `json:"model"`
		Version       string `json:"version"`
		Bytes         int64  `json:"bytes"`
		LoadPeakBytes int64  `json:"load-peak-bytes"`
		MinCopies     int    `json:"min-copies"`
	}

	// PlainService is a service that is not a model engine.
	PlainService struct {
		Name  string `json:"name"`
		Path  string `json:"path"` // prefix of its paths, begins and ends with "/"
		Calls []Call `json:"calls"`
	}

	// Call ties calls of a service to a kind of work. The first match counts.
	Call struct {
		Method string `json:"method"`
		Path   string `json:"path"` // prefix below the service's path
		Kind   string `json:"kind"`
	}

	// BackendServer is one server that runs models or a plain service.
	BackendServer struct {
		Name            string     `json:"name"`
		Type            ServerType `json:"type"`
		Service         string     `json:"service,omitempty"` // for type service
		Address         string     `json:"address"`           // IP:port
		DataCentre      string     `json:"data-centre"`
		MemoryBytes     int64      `json:"memory-bytes"`
		KVReserveBytes  int64      `json:"kv-reserve-bytes"`
		ChecksOrders    bool       `json:"checks-orders"` // refuses old fencing numbers
		OrderLifetimeMS int64      `json:"order-lifetime-ms"`
		Slots           int        `json:"slots"` // requests run at the same time
		StepMS          float64    `json:"step-ms"`
	}

	// Limits bounds what the system takes on.
	Limits struct {
		BodyBytes       int64   `json:"body-bytes"`
		HeaderBytes     int     `json:"header-bytes"`
		StreamsPerNode  int     `json:"streams-per-node"`
		IdleMS          int64   `json:"idle-ms"`
		QueuePerServer  int     `json:"queue-per-server"`
		RetryShare      float64 `json:"retry-share"`       // retries for each first attempt that succeeded
		WeightLoads     int     `json:"weight-loads"`      // concurrent loads at full speed
		WeightLoadsRate float64 `json:"weight-loads-rate"` // loads a second
	}

	// Placement sets how copies are placed.
	Placement struct {
		MovePrice      float64 `json:"move-price"`       // value that a move must gain
		MinResidenceMS int64   `json:"min-residence-ms"` // before a copy may be unloaded
		PeriodMS       int64   `json:"period-ms"`        // between plans
	}
)

// Item returns the model's item at the version that is to serve.
func (m Model) Item() backend.Item { return backend.Item{Name: m.Name, Version: m.Version} }

// Item returns the adapter's item at the version that is to serve.
func (a Adapter) Item() backend.Item {
	return backend.Item{Name: a.Name, Version: a.Version, Base: a.Model}
}
