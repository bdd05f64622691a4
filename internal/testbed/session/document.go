package session

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
)

// SmallDocument returns a document with the engines gpu-1, gpu-2 and so on, the services desk-1,
// desk-2 and so on, the models drafter and checker, the adapter shire-style, and two teams.
// Engines with odd numbers check fencing numbers.
func SmallDocument(t testing.TB, engines, services int) *config.Document {
	var servers []string
	for i := range engines {
		servers = append(servers, fmt.Sprintf(`{"name":"gpu-%d","type":"engine","address":"127.0.0.1:%d",
			"data-centre":"dc%d","memory-bytes":40000000000,"kv-reserve-bytes":4000000000,"checks-orders":%t,
			"order-lifetime-ms":3000,"slots":8,"step-ms":7}`, i+1, 9101+i, i%2+1, i%2 == 0))
	}
	for i := range services {
		servers = append(servers, fmt.Sprintf(`{"name":"desk-%d","type":"service","service":"bookings",
			"address":"127.0.0.1:%d","data-centre":"dc%d","slots":64}`, i+1, 9201+i, i%2+1))
	}
	text := strings.NewReplacer("CREW", keyHash(Key), "RIVAL", keyHash(OtherKey), "SERVERS", strings.Join(servers, ",")).Replace(smallTemplate)
	doc, err := config.Parse([]byte(text))
	require.NoError(t, err)
	return doc
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

const smallTemplate = `{
  "deployment": "small",
  "teams": [
    {"name": "crew", "key-hashes": ["CREW"], "models": ["*"], "services": ["bookings"],
     "kinds": ["live-desk", "overnight-draft", "signed-plan", "booking-confirm", "booking-cancel", "booking-read"],
     "default-kind": "live-desk", "weight": 1},
    {"name": "rival", "key-hashes": ["RIVAL"], "models": ["checker"], "services": ["bookings"],
     "kinds": ["live-desk", "booking-confirm", "booking-cancel", "booking-read"],
     "default-kind": "live-desk", "weight": 1}
  ],
  "kinds": [
    {"name": "live-desk", "urgency": "urgent", "value": 10, "deadline-ms": 15000, "repeatable": true},
    {"name": "overnight-draft", "urgency": "deferrable", "value": 1, "deadline-ms": 120000, "repeatable": true},
    {"name": "signed-plan", "urgency": "urgent", "value": 10, "deadline-ms": 15000, "repeatable": false},
    {"name": "booking-confirm", "urgency": "urgent", "value": 10, "deadline-ms": 10000, "repeatable": false},
    {"name": "booking-cancel", "urgency": "urgent", "value": 10, "deadline-ms": 10000, "repeatable": false},
    {"name": "booking-read", "urgency": "normal", "value": 2, "deadline-ms": 10000, "repeatable": true}
  ],
  "models": [
    {"name": "drafter", "version": "1", "bytes": 8000000000, "load-peak-bytes": 800000000, "min-copies": 1},
    {"name": "checker", "version": "1", "bytes": 4000000000, "load-peak-bytes": 400000000, "min-copies": 1}
  ],
  "adapters": [
    {"name": "shire-style", "model": "drafter", "version": "1", "bytes": 200000000, "load-peak-bytes": 50000000, "min-copies": 1}
  ],
  "services": [{
    "name": "bookings", "path": "/bookings/",
    "calls": [
      {"method": "POST", "path": "confirm", "kind": "booking-confirm"},
      {"method": "POST", "path": "cancel", "kind": "booking-cancel"},
      {"method": "GET", "path": "", "kind": "booking-read"}
    ]
  }],
  "backend-servers": [SERVERS]
}`
