package grant_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/balance"
)

// TestAnEngineThatShedsCostsFewRepeats plays 60 requests a second for three engines of which
// one turns every other request away. Services bear a fifth of their requests as repeats;
// half of that is left for other faults.
func TestAnEngineThatShedsCostsFewRepeats(t *testing.T) {
	s := scheduler(server("a", "m"), server("b", "m"), server("c", "m"))
	type run struct {
		id     uint64
		end    time.Time
		result balance.Result
	}
	var running []run
	sent, shed, atA := 0, 0, 0
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
		running = slices.DeleteFunc(running, func(r run) bool {
			if r.end.After(now) {
				return false
			}
			s.Release(now, r.id, r.result)
			return true
		})
		if now.Sub(start)%(17*time.Millisecond) != 0 {
			continue
		}
		sent++
		r := request(uint64(sent), "m", 900, 1)
		r.Target, r.Expire = now.Add(400*time.Millisecond), now.Add(2*time.Second)
		s.Offer(r)
		for _, d := range s.Next(now) {
			require.True(t, d.Granted)
			result, took := balance.Good, 45*time.Millisecond // in which the prompt is read
			if d.Choice.Server.ID == "a" {
				if atA++; atA%2 == 0 {
					result, took = balance.Full, 0
					shed++
				}
			}
			running = append(running, run{d.ID, now.Add(took), result})
		}
	}
	require.Positive(t, shed)
	require.LessOrEqual(t, shed, sent/10)
}
