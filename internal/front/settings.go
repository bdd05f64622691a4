package front

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"guavapaddle/core/quota"
)

// revocationMarginMS is the part of the revocation time, in ms, that is reserved for reading
// and checking a request.
const revocationMarginMS = 250

// defaultQuotaWindowS is the default window for measuring the use of quotas, in seconds.
const defaultQuotaWindowS = 10

type (
	// Settings are the settings of a node, read from a JSON file.
	Settings struct {
		Node        string   `json:"node"`
		DataCentre  string   `json:"data-centre"`
		Clients     string   `json:"clients"`       // IP:port for clients
		Ready       string   `json:"ready"`         // IP:port for readiness probes
		Peers       string   `json:"peers"`         // IP:port for other nodes, UDP
		Metrics     string   `json:"metrics"`       // IP:port for metrics
		Control     string   `json:"control"`       // IP:port for nodes that the store rejects
		Seeds       []string `json:"seeds"`         // control addresses of other nodes; some may be outdated
		Store       string   `json:"store"`         // IP:port of the platform's store
		Cores       float64  `json:"cores"`         // processor cores that the process may use
		MemoryMB    int      `json:"memory-mb"`     // memory limit of the process
		Descriptors int      `json:"descriptors"`   // limit of open files and sockets
		LinkMbps    float64  `json:"link-mbps"`     // rate of the machine's link in each direction, 0 if unknown
		GraceS      float64  `json:"grace-s"`       // from SIGTERM to SIGKILL
		LeaseMS     int      `json:"lease-ms"`      // time to live of the lease on orders
		LoadWindowS float64  `json:"load-window-s"` // window in which loads from the weight store are counted
		RepeatRatio float64  `json:"repeat-ratio"`  // retries that a service allows, as a fraction of its requests
		RepeatExtra float64  `json:"repeat-extra"`  // further retries allowed per window, summed over all nodes
		RepeatSpanS float64  `json:"repeat-span-s"` // length of that window
		CheckEpochs bool     `json:"engines-check-epochs"`
		HeartbeatMS int      `json:"server-heartbeat-ms"`  // interval at which backend servers write their entries; 0 if unknown
		NoticeMS    int      `json:"server-notice-ms"`     // how long a backend server may get requests after its entry shows that it is leaving; 0 for 2000
		RevokeMS    int      `json:"key-revocation-ms"`    // how long requests with an API key may be accepted after its removal from the store; 0 for no limit
		ApplyMS     int      `json:"config-apply-ms"`      // within which a configuration has to be in force at all nodes; 0 for no limit
		QuotaOver   float64  `json:"quota-over"`           // fraction by which the use of a quota may exceed it in a window
		QuotaSlack  float64  `json:"quota-slack"`          // units by which it may exceed the quota in addition, summed over all nodes
		QuotaSpanS  float64  `json:"quota-span-s"`         // length of the quota window; 0 for 10
		DeferMS     int      `json:"deferrable-target-ms"` // target latency of a streaming route from which its requests are deferrable; 0 for none
		MaxDirect   int      `json:"max-direct-nodes"`     // nodes up to which all of them report to the leader directly; 0 for 128
		RelayFanout int      `json:"relay-fanout"`         // nodes for each relay in a larger fleet; 0 for 32
		LogLevel    string   `json:"log-level"`
	}

	// SettingsError reports that a settings file is unusable.
	SettingsError struct {
		File   string
		Path   string // JSON path, empty for the whole file
		Reason string
	}
)

// Error implements error and returns file, path and reason in one line.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("settings %s: $.%s: %s", e.File, e.Path, e.Reason)
}

// Load reads and checks a settings file. The error is a *SettingsError.
func Load(file string) (Settings, error) {
	var s Settings
	b, err := os.ReadFile(file)
	if err != nil {
		return s, &SettingsError{File: file, Reason: err.Error()}
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, &SettingsError{File: file, Reason: err.Error()}
	}
	if d.More() {
		return s, &SettingsError{File: file, Reason: "more than one value"}
	}
	if e := s.check(); e != nil {
		e.File = file
		return s, e
	}
	return s, nil
}

// keyAge returns the maximum age of the configuration at which API keys are still accepted,
// zero for no limit.
func (s Settings) keyAge() time.Duration {
	if s.RevokeMS == 0 {
		return 0
	}
	return time.Duration(s.RevokeMS-revocationMarginMS) * time.Millisecond
}

// tolerance returns by how much the use of a quota may exceed it.
func (s Settings) tolerance() quota.Tolerance {
	return quota.Tolerance{Window: time.Duration(cmp.Or(s.QuotaSpanS, defaultQuotaWindowS) * float64(time.Second)),
		Ratio: s.QuotaOver, Slack: s.QuotaSlack}
}

// memoryBytes returns the memory limit in bytes.
func (s Settings) memoryBytes() int64 { return int64(s.MemoryMB) << 20 }

// check returns an error for the first invalid setting.
func (s Settings) check() *SettingsError {
	addresses := []struct{ path, value string }{
		{"clients", s.Clients}, {"ready", s.Ready}, {"peers", s.Peers}, {"metrics", s.Metrics}, {"control", s.Control}, {"store", s.Store},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return &SettingsError{Path: a.path, Reason: err.Error()}
		}
	}
	for i, a := range s.Seeds {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return &SettingsError{Path: fmt.Sprintf("seeds[%d]", i), Reason: err.Error()}
		}
	}
	switch {
	case s.Node == "":
		return &SettingsError{Path: "node", Reason: "is missing"}
	case s.Cores <= 0:
		return &SettingsError{Path: "cores", Reason: "must be above zero"}
	case s.MemoryMB <= 0:
		return &SettingsError{Path: "memory-mb", Reason: "must be above zero"}
	case s.Descriptors <= reservedDescriptors:
		return &SettingsError{Path: "descriptors", Reason: fmt.Sprintf("must be above %d", reservedDescriptors)}
	case s.LinkMbps < 0:
		return &SettingsError{Path: "link-mbps", Reason: "must not be below zero"}
	case s.GraceS <= 0:
		return &SettingsError{Path: "grace-s", Reason: "must be above zero"}
	case s.LeaseMS <= 0:
		return &SettingsError{Path: "lease-ms", Reason: "must be above zero"}
	case s.LoadWindowS <= 0:
		return &SettingsError{Path: "load-window-s", Reason: "must be above zero"}
	case s.HeartbeatMS < 0:
		return &SettingsError{Path: "server-heartbeat-ms", Reason: "must not be below zero"}
	case s.NoticeMS < 0:
		return &SettingsError{Path: "server-notice-ms", Reason: "must not be below zero"}
	case s.RevokeMS < 0 || s.RevokeMS > 0 && s.RevokeMS <= revocationMarginMS:
		return &SettingsError{Path: "key-revocation-ms", Reason: fmt.Sprintf("must be 0 or above %d", revocationMarginMS)}
	case s.ApplyMS < 0:
		return &SettingsError{Path: "config-apply-ms", Reason: "must not be below zero"}
	case s.QuotaOver < 0:
		return &SettingsError{Path: "quota-over", Reason: "must not be below zero"}
	case s.QuotaSlack < 0:
		return &SettingsError{Path: "quota-slack", Reason: "must not be below zero"}
	case s.QuotaSpanS < 0:
		return &SettingsError{Path: "quota-span-s", Reason: "must not be below zero"}
	case s.DeferMS < 0:
		return &SettingsError{Path: "deferrable-target-ms", Reason: "must not be below zero"}
	case s.MaxDirect < 0:
		return &SettingsError{Path: "max-direct-nodes", Reason: "must not be below zero"}
	case s.RelayFanout < 0:
		return &SettingsError{Path: "relay-fanout", Reason: "must not be below zero"}
	case s.RepeatRatio < 0:
		return &SettingsError{Path: "repeat-ratio", Reason: "must not be below zero"}
	case s.RepeatExtra < 0:
		return &SettingsError{Path: "repeat-extra", Reason: "must not be below zero"}
	case s.RepeatSpanS <= 0:
		return &SettingsError{Path: "repeat-span-s", Reason: "must be above zero"}
	}
	return nil
}
