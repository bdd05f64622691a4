package sample

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"guavapaddle/core/config"
)

const (
	gigabyte = int64(1_000_000_000)
	megabyte = int64(1_000_000)

	engineMemory   = 80 * gigabyte
	engineReserve  = 16 * gigabyte
	engineSlots    = 16
	serviceSlots   = 64
	orderLifetime  = int64(60_000) // milliseconds
	adapterBytes   = 200 * megabyte
	adapterPeak    = 50 * megabyte
	enginePort     = 8000
	servicePort    = 8100
	keyPrefix      = "test-key-"
	firstVersion   = "1"
	networkAddress = "10.%d.%d.%d:%d" // deployment, data centre, server, port
)

// layout describes the backend servers of one deployment.
type layout struct {
	name          string
	network       int // second octet of the IP addresses
	dataCentres   []string
	engines       int
	orderChecking int // number of engines that check orders
	stepMS        float64
	service       string
	servers       int // number of servers of the plain service
}

// Key returns the test key of a team in a sample configuration.
func Key(team string) string { return keyPrefix + team }

// KeyHash returns the hash of a key in the form used in configurations.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return config.KeyHashPrefix + hex.EncodeToString(sum[:])
}

// Text returns doc as indented JSON, as in the file of an operator.
func Text(doc *config.Document) []byte {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetIndent("", "  ")
	if err := enc.Encode(doc); err != nil {
		panic(fmt.Errorf("sample: %w", err))
	}
	return b.Bytes()
}

// backendServers returns the backend servers, distributed over the data centres in
// turn.
func (l layout) backendServers() []config.BackendServer {
	var list []config.BackendServer
	for i := range l.engines {
		dc := i % len(l.dataCentres)
		s := config.BackendServer{
			Name:           fmt.Sprintf("engine-%02d", i+1),
			Type:           config.Engine,
			Address:        fmt.Sprintf(networkAddress, l.network, dc+1, i+1, enginePort),
			DataCentre:     l.dataCentres[dc],
			MemoryBytes:    engineMemory,
			KVReserveBytes: engineReserve,
			ChecksOrders:   i < l.orderChecking,
			Slots:          engineSlots,
			StepMS:         l.stepMS,
		}
		if !s.ChecksOrders {
			s.OrderLifetimeMS = orderLifetime
		}
		list = append(list, s)
	}
	for i := range l.servers {
		dc := i % len(l.dataCentres)
		list = append(list, config.BackendServer{
			Name:       fmt.Sprintf("%s-%02d", l.service, i+1),
			Type:       config.Service,
			Service:    l.service,
			Address:    fmt.Sprintf(networkAddress, l.network, dc+1, 100+i+1, servicePort),
			DataCentre: l.dataCentres[dc],
			Slots:      serviceSlots,
		})
	}
	return list
}

// models returns count models whose names start with prefix. Their sizes alternate
// among sizes; the first urgent models have at least two copies.
func models(prefix string, count, urgent int, sizes [3]int64) []config.Model {
	list := make([]config.Model, count)
	for i := range list {
		size := sizes[i%len(sizes)]
		list[i] = config.Model{
			Name:          fmt.Sprintf("%s-%02d", prefix, i+1),
			Version:       firstVersion,
			Bytes:         size,
			LoadPeakBytes: size / 10,
			MinCopies:     config.DefaultMinCopies,
		}
		if i < urgent {
			list[i].MinCopies = 2
		}
	}
	return list
}

// adapters returns count adapters, assigned to the models in turn.
func adapters(prefix string, count int, bases []config.Model) []config.Adapter {
	list := make([]config.Adapter, count)
	for i := range list {
		list[i] = config.Adapter{
			Name:          fmt.Sprintf("%s-%03d", prefix, i+1),
			Model:         bases[i%len(bases)].Name,
			Version:       firstVersion,
			Bytes:         adapterBytes,
			LoadPeakBytes: adapterPeak,
			MinCopies:     config.DefaultMinCopies,
		}
	}
	return list
}

// assignedNames returns the names of every n-th model, starting with the k-th, and of
// their adapters.
func assignedNames(doc *config.Document, k, n int) []string {
	var names []string
	assigned := make(map[string]bool)
	for i, m := range doc.Models {
		if i%n == k {
			names = append(names, m.Name)
			assigned[m.Name] = true
		}
	}
	for _, a := range doc.Adapters {
		if assigned[a.Model] {
			names = append(names, a.Name)
		}
	}
	return names
}
