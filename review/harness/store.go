package main

import (
	"encoding/json"
	"time"

	"guavapaddle/platform/standin"
)

// cleaner stands in for the testing.TB that the project's stand-in of the store wants; the process ends with the script.
type cleaner struct{}

// Cleanup implements standin.TB.
func (cleaner) Cleanup(func()) {}

// Helper implements standin.TB.
func (cleaner) Helper() {}

const (
	heartbeat = 1200 * time.Millisecond
	// lapse is three heartbeats of silence, after which the store drops an entry.
	lapse = 3 * heartbeat
)

// beat writes the entry of a server into the store each heartbeat while it runs, and drops it after three of silence.
func beat(s *standin.Store, e *engine) {
	last := time.Time{}
	present := false
	for {
		if body, ok := e.entry(); ok {
			s.Put("servers", e.id, body)
			last, present = time.Now(), true
		} else if present && time.Since(last) > lapse {
			s.Drop("servers", e.id)
			present = false
			note("store: the entry of %s lapses", e.id)
		}
		select {
		case <-e.changed:
		case <-time.After(heartbeat):
		}
	}
}

// encode returns v as JSON.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		fatal(err)
	}
	return b
}
