package main

// document is the configuration of the demonstration. The addresses of its backend
// servers are replaced by those of the stand-ins.
const document = `{
  "deployment": "demo",
  "teams": [{
    "name": "crew",
    "key-hashes": ["sha256:c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"],
    "models": ["*"], "services": ["bookings"],
    "kinds": ["live-desk", "booking-confirm"], "default-kind": "live-desk", "weight": 1
  }],
  "kinds": [
    {"name": "live-desk", "urgency": "urgent", "value": 10, "deadline-ms": 15000, "repeatable": true},
    {"name": "booking-confirm", "urgency": "urgent", "value": 10, "deadline-ms": 10000, "repeatable": false}
  ],
  "models": [
    {"name": "drafter", "version": "1", "bytes": 8000000000, "load-peak-bytes": 800000000, "min-copies": 1}
  ],
  "adapters": [
    {"name": "shire-style", "model": "drafter", "version": "1", "bytes": 200000000, "load-peak-bytes": 50000000, "min-copies": 1}
  ],
  "services": [{
    "name": "bookings", "path": "/bookings/",
    "calls": [{"method": "POST", "path": "confirm", "kind": "booking-confirm"}]
  }],
  "backend-servers": [
    {"name": "gpu-1", "type": "engine", "address": "127.0.0.1:9101", "data-centre": "dc1", "memory-bytes": 40000000000,
     "kv-reserve-bytes": 4000000000, "checks-orders": true, "order-lifetime-ms": 30000, "slots": 8, "step-ms": 7},
    {"name": "gpu-2", "type": "engine", "address": "127.0.0.1:9102", "data-centre": "dc2", "memory-bytes": 40000000000,
     "kv-reserve-bytes": 4000000000, "checks-orders": false, "order-lifetime-ms": 30000, "slots": 8, "step-ms": 7},
    {"name": "desk-1", "type": "service", "service": "bookings", "address": "127.0.0.1:9201", "data-centre": "dc1", "slots": 16}
  ]
}`
