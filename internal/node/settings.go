package node

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"guavapaddle/core/place"
	"guavapaddle/core/route"
)

const (
	defaultNotice = 3 * time.Second
)

type (
	// Settings are read from the node's settings file, the environment and the
	// command line. Everything else is in the configuration document.
	Settings struct {
		Name        string
		DataCentre  string
		Callers     string // IP:port for callers
		Peers       string // IP:port (UDP) for other nodes
		Operators   string // IP:port for operators
		Table       string // IP:port of the table service
		Objects     string // IP:port of the object store
		VMList      string // IP:port of the VM list, empty for none
		CA          string // path of the CA certificates (PEM)
		Cert        string // path of the node's certificate (PEM)
		Key         string // path of the node's private key (PEM)
		Seeds       string // comma-separated IP:port of other nodes
		Policy      string // routing policy, see core/route
		Planner     string // placement policy, see core/place
		Limit       string // limit policy for teams: cost, requests or none
		DrainNotice time.Duration
		Seed        uint64
		LogLevel    string
	}

	// SettingsError describes an invalid setting.
	SettingsError struct {
		Name   string // name of the flag
		Reason string
	}
)

// Error returns the flag and the reason.
func (e *SettingsError) Error() string { return fmt.Sprintf("-%s: %s", e.Name, e.Reason) }

// Register defines a flag for each setting.
func (s *Settings) Register(f *flag.FlagSet) {
	f.StringVar(&s.Name, "name", "", "name of the node; its certificate carries the same")
	f.StringVar(&s.DataCentre, "data-centre", "", "data centre of the node")
	f.StringVar(&s.Callers, "callers", "127.0.0.1:8080", "IP:port to listen on for callers")
	f.StringVar(&s.Peers, "peers", "127.0.0.1:7000", "IP:port (UDP) to listen on for other nodes")
	f.StringVar(&s.Operators, "operators", "127.0.0.1:7001", "IP:port to listen on for operators")
	f.StringVar(&s.Table, "table", "", "IP:port of the platform's table service")
	f.StringVar(&s.Objects, "objects", "", "IP:port of the platform's object store")
	f.StringVar(&s.VMList, "vm-list", "", "IP:port of the platform's VM list, empty for none")
	f.StringVar(&s.CA, "ca", "", "file with the certificates of the nodes' authority (PEM)")
	f.StringVar(&s.Cert, "cert", "", "file with the node's certificate (PEM)")
	f.StringVar(&s.Key, "key", "", "file with the node's private key (PEM)")
	f.StringVar(&s.Seeds, "seeds", "", "IP:port of other nodes, separated by commas; the VM list adds to them")
	f.StringVar(&s.Policy, "policy", route.NameHome, "routing policy: "+strings.Join(route.Names(), ", "))
	f.StringVar(&s.Planner, "planner", "gain", "placement policy: gain, static, lru")
	f.StringVar(&s.Limit, "limit", LimitCost, "how teams are limited when overloaded: cost, requests, none")
	f.DurationVar(&s.DrainNotice, "notice", defaultNotice, "time from the loss of readiness to the refusal of new requests at a planned stop")
	f.Uint64Var(&s.Seed, "seed", 0, "seed of random choices, 0 for a new one each start")
	f.StringVar(&s.LogLevel, "log-level", "info", "debug, info, warn or error")
}

// Check returns a *SettingsError for the first invalid setting, or nil.
func (s *Settings) Check() error {
	for _, f := range []struct{ name, value string }{
		{"name", s.Name}, {"data-centre", s.DataCentre}, {"table", s.Table}, {"objects", s.Objects},
		{"ca", s.CA}, {"cert", s.Cert}, {"key", s.Key},
	} {
		if f.value == "" {
			return &SettingsError{Name: f.name, Reason: "is missing"}
		}
	}
	for _, f := range []struct{ name, value string }{
		{"callers", s.Callers}, {"peers", s.Peers}, {"operators", s.Operators}, {"table", s.Table},
		{"objects", s.Objects}, {"vm-list", s.VMList},
	} {
		if f.value == "" && f.name == "vm-list" {
			continue
		}
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			return &SettingsError{Name: f.name, Reason: fmt.Sprintf("%q is not IP:port", f.value)}
		}
	}
	for _, v := range s.seeds() {
		if _, err := netip.ParseAddrPort(v); err != nil {
			return &SettingsError{Name: "seeds", Reason: fmt.Sprintf("%q is not IP:port", v)}
		}
	}
	if _, err := route.New(s.Policy); err != nil {
		return &SettingsError{Name: "policy", Reason: err.Error()}
	}
	if !slices.Contains(LimitNames(), s.Limit) {
		return &SettingsError{Name: "limit", Reason: fmt.Sprintf("%q is not cost, requests or none", s.Limit)}
	}
	if _, err := place.New(s.Planner); err != nil {
		return &SettingsError{Name: "planner", Reason: err.Error()}
	}
	return nil
}

// seeds returns the addresses listed in Seeds.
func (s *Settings) seeds() []string {
	var out []string
	for _, a := range strings.Split(s.Seeds, ",") {
		if a = strings.TrimSpace(a); a != "" {
			out = append(out, a)
		}
	}
	return out
}
