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

// fleet says what to build of one deployment.
type fleet struct {
	name        string
	network     int // second part of its IP numbers
	dataCentres []string
	engines     int
	checking    int // engines that check orders
	stepMS      float64
	service     string
	servers     int // of the plain service
}

// Key returns the test key of a team of a sample document.
func Key(team string) string { return keyPrefix + team }

// KeyHash returns the hash of a key as a document holds it.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return config.KeyHashPrefix + hex.EncodeToString(sum[:])
}

// Text returns doc as an operator's file, indented.
func Text(doc *config.Document) []byte {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetIndent("", "  ")
	if err := enc.Encode(doc); err != nil {
		panic(fmt.Errorf("sample: %w", err))
	}
	return b.Bytes()
}

// servers returns the backend servers of a fleet, spread over its data centres.
func (f fleet) backendServers() []config.BackendServer {
	var list []config.BackendServer
	for i := range f.engines {
		dc := i % len(f.dataCentres)
		s := config.BackendServer{
			Name:           fmt.Sprintf("engine-%02d", i+1),
			Type:           config.Engine,
			Address:        fmt.Sprintf(networkAddress, f.network, dc+1, i+1, enginePort),
			DataCentre:     f.dataCentres[dc],
			MemoryBytes:    engineMemory,
			KVReserveBytes: engineReserve,
			ChecksOrders:   i < f.checking,
			Slots:          engineSlots,
			StepMS:         f.stepMS,
		}
		if !s.ChecksOrders {
			s.OrderLifetimeMS = orderLifetime
		}
		list = append(list, s)
	}
	for i := range f.servers {
		dc := i % len(f.dataCentres)
		list = append(list, config.BackendServer{
			Name:       fmt.Sprintf("%s-%02d", f.service, i+1),
			Type:       config.Service,
			Service:    f.service,
			Address:    fmt.Sprintf(networkAddress, f.network, dc+1, 100+i+1, servicePort),
			DataCentre: f.dataCentres[dc],
			Slots:      serviceSlots,
		})
	}
	return list
}

// models returns count models named after prefix. Each third has size small,
// medium and large; the first urgent ones have two copies.
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

// adapters returns count adapters, dealt out to the models in turn.
func adapters(prefix string, count int, of []config.Model) []config.Adapter {
	list := make([]config.Adapter, count)
	for i := range list {
		list[i] = config.Adapter{
			Name:          fmt.Sprintf("%s-%03d", prefix, i+1),
			Model:         of[i%len(of)].Name,
			Version:       firstVersion,
			Bytes:         adapterBytes,
			LoadPeakBytes: adapterPeak,
			MinCopies:     config.DefaultMinCopies,
		}
	}
	return list
}

// dealt returns every n-th model from the k-th, and the adapters of those.
func dealt(doc *config.Document, k, n int) []string {
	var names []string
	mine := make(map[string]bool)
	for i, m := range doc.Models {
		if i%n == k {
			names = append(names, m.Name)
			mine[m.Name] = true
		}
	}
	for _, a := range doc.Adapters {
		if mine[a.Model] {
			names = append(names, a.Name)
		}
	}
	return names
}
