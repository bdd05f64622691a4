// Command demo demonstrates the main functions on embedded stand-ins, in one
// process and in a few seconds: a streamed answer that passes through two nodes, a
// booking that is executed once although it is sent several times, and the
// application of a new configuration.
//
// # Usage
//
//	go run ./cmd/demo
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"guavapaddle/core/config"
	"guavapaddle/internal/testbed/lab"
)

const (
	timeout    = time.Minute
	apiKey     = "demo-key"
	retryDelay = 50 * time.Millisecond
)

// UnexpectedError reports a result that the demonstration does not expect.
type UnexpectedError struct{ Text string }

// Error describes the unexpected result.
func (e *UnexpectedError) Error() string { return "unexpected: " + e.Text }

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	doc, err := config.Parse([]byte(document))
	if err != nil {
		return eris.Wrap(err, "document")
	}
	l := &lab.Lab{Document: doc, Nodes: 2}
	defer l.Close()
	_, _ = fmt.Fprintln(out, "== starting the platform, two model engines, a booking service and two nodes")
	if err := l.Start(ctx); err != nil {
		return err
	}
	if err := l.WaitResident(ctx); err != nil {
		return err
	}
	if err := stream(ctx, out, l); err != nil {
		return err
	}
	if err := book(ctx, out, l); err != nil {
		return err
	}
	return apply(ctx, out, l)
}

// stream sends a chat request to a node that does not own the model's backend
// server, so that the answer passes through two nodes.
func stream(ctx context.Context, out io.Writer, l *lab.Lab) error {
	r, err := l.Status(ctx, 0)
	if err != nil {
		return err
	}
	entry := 0
	for _, s := range r.Servers {
		for _, i := range s.Resident {
			if i.Name == "drafter" && s.Owner == r.Node {
				entry = 1
			}
		}
	}
	for _, s := range r.Servers {
		_, _ = fmt.Fprintf(out, "   engine %s is owned by node %s and holds %v\n", s.Server, s.Owner, s.Resident)
	}
	_, _ = fmt.Fprintf(out, "== a streamed answer, asked of node n%d\n", entry+1)
	body := `{"model":"drafter","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Draft a worksite protection plan."}]}`
	resp, err := post(ctx, l.Callers[entry], "/v1/chat/completions", "", body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if scanner.Text() != "" {
			_, _ = fmt.Fprintln(out, "   "+scanner.Text())
		}
	}
	return scanner.Err()
}

// book sends the same booking three times, alternating between the two nodes, and
// checks that the service executed it once.
func book(ctx context.Context, out io.Writer, l *lab.Lab) error {
	_, _ = fmt.Fprintln(out, "== one booking, sent three times with the same Idempotency-Key")
	for i := range 3 {
		resp, err := post(ctx, l.Callers[i%2], "/bookings/confirm", "possession-7", `{"section":"B12"}`)
		if err != nil {
			return err
		}
		b, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "   node n%d: %d outcome=%s stored=%q %s\n", i%2+1, resp.StatusCode,
			resp.Header.Get("X-Outcome"), resp.Header.Get("X-Stored-Answer"), strings.TrimSpace(string(b)))
	}
	runs := 0
	for _, s := range l.Services {
		for _, r := range s.Journal() {
			runs += r.Count
		}
	}
	_, _ = fmt.Fprintf(out, "   the service's own journal: %d run\n", runs)
	if runs != 1 {
		return &UnexpectedError{Text: fmt.Sprintf("%d runs of the booking", runs)}
	}
	return nil
}

// apply applies a configuration with a new version of a model and waits until the
// new version is resident.
func apply(ctx context.Context, out io.Writer, l *lab.Lab) error {
	_, _ = fmt.Fprintln(out, "== a configuration with a new version of the model is applied")
	next := *l.Document
	next.Models = append([]config.Model(nil), l.Document.Models...)
	next.Models[0].Version = "2"
	start := time.Now()
	if err := l.Apply(ctx, &next); err != nil {
		return err
	}
	for i := range l.Operators {
		for {
			r, err := l.Status(ctx, i)
			if err != nil {
				return err
			}
			if r.ConfigVersion == 2 {
				_, _ = fmt.Fprintf(out, "   node n%d: version 2 in force\n", i+1)
				break
			}
		}
	}
	l.Document = &next
	if err := l.WaitResident(ctx); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "   drafter@2 serves %s after apply; drafter@1 served until then\n", time.Since(start).Round(100*time.Millisecond))
	return nil
}

// post sends a request and retries it while an earlier attempt with the same
// idempotency key is still running.
func post(ctx context.Context, address, path, idempotencyKey, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusConflict { // an earlier attempt is still running
		_ = resp.Body.Close()
		time.Sleep(retryDelay)
		return post(ctx, address, path, idempotencyKey, body)
	}
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		return nil, &UnexpectedError{Text: fmt.Sprintf("%s: %s", resp.Status, b)}
	}
	return resp, nil
}
