package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	callTokens  = 32
	idlePerHost = 64
)

// sendRequests sends requests at the rate of s to random nodes until ctx is done.
// Responses are read and discarded.
func sendRequests(ctx context.Context, s Size, nodes []string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost}, Timeout: deadlineMS * time.Millisecond}
	random := rand.New(rand.NewPCG(1, 1))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / s.Rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		team := random.IntN(s.Teams)
		model := ModelName((team + random.IntN(min(modelsPerTeam, s.Models))) % s.Models)
		go sendRequest(ctx, client, nodes[random.IntN(len(nodes))], Key(team), model)
	}
}

// sendRequest sends one request and discards the response.
func sendRequest(ctx context.Context, client *http.Client, node, key, model string) {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": "p", "max_tokens": callTokens})
	if err != nil {
		return
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+key)
	a, err := client.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
}
