package session

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/core/status"
	"guavapaddle/internal/keys"
	"guavapaddle/internal/testbed/standin/service"
	"guavapaddle/io/operator"
	"guavapaddle/io/table"
	"guavapaddle/io/vmlist"
)

const (
	// Key is the API key of the team "crew" in SmallDocument.
	Key = "crew-key"
	// OtherKey is the API key of the team "rival" in SmallDocument.
	OtherKey = "rival-key"

	pollPeriod      = 20 * time.Millisecond
	waitTimeout     = 30 * time.Second
	responseTimeout = 60 * time.Second // for a complete response; anything slower counts as hung
	nodeDrainTime   = "200ms"
)

type (
	// Options configures what New starts.
	Options struct {
		Platform []string            // additional flags of the platform
		Engine   map[string][]string // additional flags by server, "" for all engines
		Service  []string            // additional flags of services
		Node     []string            // additional flags of nodes
	}

	// System is a complete system of processes.
	System struct {
		Document *config.Document
		Platform *Process
		Servers  map[string]*Process
		Nodes    []*Process
		Table    string // address of the table that nodes use, the platform's if empty

		t            testing.TB
		options      Options
		dir          string
		documentFile string
	}

	// Response is the response that a caller received.
	Response struct {
		Status int
		Header http.Header
		Body   string
		Err    error // the connection failed
	}
)

// New starts the platform and the backend servers, sets their addresses in doc and applies
// it.
func New(t testing.TB, doc *config.Document, o Options) *System {
	s := &System{Document: doc, Servers: map[string]*Process{}, t: t, options: o, dir: t.TempDir()}
	s.Platform = start(t, "platform", "standin", append([]string{"platform", "-listen", "127.0.0.1:0"}, o.Platform...)...)
	for i := range doc.Servers {
		b := &doc.Servers[i]
		s.Servers[b.Name] = s.startServer(*b)
		b.Address = s.Servers[b.Name].Address("address")
	}
	s.documentFile = filepath.Join(s.dir, "document.json")
	code, out := s.Apply(doc)
	require.Equal(t, 0, code, out)
	return s
}

func (s *System) startServer(b config.BackendServer) *Process {
	if b.Type == config.Service {
		args := append([]string{"service", "-listen", "127.0.0.1:0", "-name", b.Name}, s.options.Service...)
		return start(s.t, b.Name, "standin", args...)
	}
	args := []string{
		"engine", "-listen", "127.0.0.1:0", "-name", b.Name,
		"-memory-bytes", strconv.FormatInt(b.MemoryBytes, 10),
		"-slots", strconv.Itoa(b.Slots),
		"-step", (time.Duration(b.StepMS * float64(time.Millisecond))).String(),
		"-checks-orders=" + strconv.FormatBool(b.ChecksOrders),
		"-weights", s.Platform.Address("address"),
	}
	args = append(args, s.options.Engine[""]...)
	return start(s.t, b.Name, "standin", append(args, s.options.Engine[b.Name]...)...)
}

// StartNodes starts n nodes and waits until all are ready and see each other as live, every
// declared item is resident on a server, and every engine has its intended owner.
func (s *System) StartNodes(n int) {
	names := make([]string, n)
	for i := range names {
		names[i] = "n" + strconv.Itoa(i+1)
	}
	require.NoError(s.t, keys.Generate(s.dir, names))
	for i := range names {
		s.Nodes = append(s.Nodes, s.startNode(i))
	}
	s.WaitNodes(n)
	s.WaitResident()
	s.WaitOwners()
}

// WaitOwners waits until, in the view of every running node, every engine is reachable and
// owned by the node that rendezvous hashing assigns it to. The nodes that start first own
// all engines and hand most of them over once the others are up.
func (s *System) WaitOwners() {
	var live []string
	for _, n := range s.Nodes {
		if !n.Exited() {
			live = append(live, n.Name)
		}
	}
	assignment := rendezvous.New(live, xxhash.Sum64String)
	s.Eventually("owners", func() bool {
		return s.everyNode(func(r status.Report) bool {
			for _, v := range r.Servers {
				if v.Owner != assignment.Lookup(v.Server) || !v.Reachable {
					return false
				}
			}
			return true
		})
	})
}

func (s *System) startNode(i int) *Process {
	name := "n" + strconv.Itoa(i+1)
	b := s.Document.Servers[i%len(s.Document.Servers)]
	platform := s.Platform.Address("address")
	tableAddress := cmp.Or(s.Table, platform)
	settings := map[string]string{
		"name": name, "data-centre": b.DataCentre,
		"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0",
		"table": tableAddress, "objects": platform, "vm-list": platform,
		"ca": filepath.Join(s.dir, "ca.pem"), "cert": filepath.Join(s.dir, name+".pem"), "key": filepath.Join(s.dir, name+".key"),
		"notice": nodeDrainTime, "seed": strconv.Itoa(i + 1),
	}
	body, err := json.Marshal(settings)
	require.NoError(s.t, err)
	file := filepath.Join(s.dir, name+".json")
	require.NoError(s.t, os.WriteFile(file, body, 0o600))
	p := start(s.t, name, "guavapaddle", append([]string{"node", "-settings", file}, s.options.Node...)...)
	s.listNode(p, b.DataCentre)
	return p
}

// listNode adds a node to the VM list.
func (s *System) listNode(p *Process, dataCentre string) {
	s.putVM(vmlist.VM{Name: p.Name, Address: p.Address("peers"), Role: "node", DataCentre: dataCentre, State: vmlist.Live})
}

// SetVM sets the state of a backend server's VM on the platform's VM list.
func (s *System) SetVM(server string, role vmlist.Role, state vmlist.State) {
	s.putVM(vmlist.VM{Name: server, Address: s.Servers[server].Address("address"), Role: role, State: state})
}

func (s *System) putVM(vm vmlist.VM) {
	c := &vmlist.Client{Address: s.Platform.Address("address")}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	require.NoError(s.t, c.Set(ctx, vm))
}

// RestartNode kills a node and starts it again immediately, with new addresses.
func (s *System) RestartNode(i int) {
	s.Nodes[i].Restart()
	s.listNode(s.Nodes[i], s.Document.Servers[i%len(s.Document.Servers)].DataCentre)
}

// Apply applies a document with the operators' command and returns the exit code and the
// output. It waits for the running nodes.
func (s *System) Apply(doc *config.Document) (int, string) {
	body, err := json.Marshal(doc)
	require.NoError(s.t, err)
	require.NoError(s.t, os.WriteFile(s.documentFile, body, 0o600))
	platform := s.Platform.Address("address")
	args := []string{"apply", "-file", s.documentFile, "-table", platform, "-objects", platform}
	if len(s.Nodes) == 0 {
		args = append(args, "-wait", "0")
	} else {
		args = append(args, "-nodes", s.operatorAddresses())
	}
	return s.Command(args...)
}

// ApplyBase applies a document as an operator who has seen version base, and waits for the
// running nodes.
func (s *System) ApplyBase(operator string, doc *config.Document, base uint64) (int, string) {
	body, err := json.Marshal(doc)
	require.NoError(s.t, err)
	file := filepath.Join(s.dir, operator+".json")
	require.NoError(s.t, os.WriteFile(file, body, 0o600))
	platform := s.Platform.Address("address")
	return s.Command("apply", "-file", file, "-table", platform, "-objects", platform, "-nodes", s.operatorAddresses(),
		"-operator", operator, "-base", strconv.FormatUint(base, 10))
}

// ApplyOnNode applies a document and waits for one node only, for use while others are frozen.
func (s *System) ApplyOnNode(node int, doc *config.Document) {
	body, err := json.Marshal(doc)
	require.NoError(s.t, err)
	require.NoError(s.t, os.WriteFile(s.documentFile, body, 0o600))
	platform := s.Platform.Address("address")
	code, out := s.Command("apply", "-file", s.documentFile, "-table", platform, "-objects", platform, "-wait", "0")
	require.Equal(s.t, 0, code, out)
	s.Eventually("the configuration to be in force on one node", func() bool {
		r, err := s.Status(node)
		return err == nil && r.ConfigHash == doc.Hash()
	})
}

func (s *System) operatorAddresses() string {
	var all []string
	for _, n := range s.Nodes {
		if !n.Exited() {
			all = append(all, n.Address("operators"))
		}
	}
	return strings.Join(all, ",")
}

// Command runs guavapaddle to completion and returns its exit code and output. Progress
// messages are included only if it failed.
func (s *System) Command(args ...string) (int, string) {
	cmd := exec.Command(filepath.Join(build(s.t), "guavapaddle"), args...)
	var out, progress bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &progress
	err := cmd.Run()
	if _, exited := err.(*exec.ExitError); err != nil && !exited {
		require.NoError(s.t, err)
	}
	if code := cmd.ProcessState.ExitCode(); code != 0 {
		return code, out.String() + progress.String()
	}
	return 0, out.String()
}

// Status returns a node's status report.
func (s *System) Status(node int) (status.Report, error) {
	c := &operator.Client{Address: s.Nodes[node].Address("operators"), Timeout: time.Second}
	return c.Status(context.Background())
}

// WaitNodes waits until every running node is ready and sees n live nodes.
func (s *System) WaitNodes(n int) {
	s.Eventually("nodes", func() bool {
		return s.everyNode(func(r status.Report) bool {
			live := 0
			for _, m := range r.Nodes {
				if m.State == status.Live {
					live++
				}
			}
			return r.Ready && live == n
		})
	})
}

// WaitResident waits until, in every running node's view, every declared item is resident on
// a reachable server.
func (s *System) WaitResident() {
	x := config.NewIndex(s.Document, 0)
	s.Eventually("items", func() bool {
		return s.everyNode(func(r status.Report) bool {
			for _, i := range x.Items() {
				resident := false
				for _, v := range r.Servers {
					resident = resident || v.Reachable && v.Holds(i)
				}
				if !resident {
					return false
				}
			}
			return true
		})
	})
}

// everyNode reports whether the status of every running node satisfies a condition.
func (s *System) everyNode(condition func(r status.Report) bool) bool {
	for i, n := range s.Nodes {
		if n.Exited() {
			continue
		}
		r, err := s.Status(i)
		if err != nil || !condition(r) {
			return false
		}
	}
	return true
}

// Eventually waits until a condition holds. It fails the test after a timeout that is far
// longer than a correct system needs.
func (s *System) Eventually(what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			for _, n := range s.Nodes {
				s.t.Logf("%s:\n%s", n.Name, n.Log())
			}
			s.logRows("owner/")
			require.Fail(s.t, "condition not met in time", what)
		}
		time.Sleep(pollPeriod)
	}
}

// logRows logs the table rows whose keys begin with a prefix.
func (s *System) logRows(prefix string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	rows, err := (&table.Client{Address: s.Platform.Address("address")}).Scan(ctx, prefix)
	for _, r := range rows {
		s.t.Logf("%s at %d: %s", r.Key, r.Revision, r.Value)
	}
	if err != nil {
		s.t.Log(err)
	}
}

// Owner returns the index of the node that owns a server in a node's view, or -1 if none
// does.
func (s *System) Owner(node int, server string) int {
	r, err := s.Status(node)
	require.NoError(s.t, err)
	for _, v := range r.Servers {
		for i, n := range s.Nodes {
			if v.Server == server && v.Owner == n.Name {
				return i
			}
		}
	}
	return -1
}

// Do sends a request to a node as a caller and returns the complete response. header holds
// alternating names and values; the API key is Key unless header sets Authorization.
func (s *System) Do(node int, method, path, body string, header ...string) Response {
	resp, err := s.Open(node, method, path, body, header...)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: string(b), Err: err}
}

// Open sends a request to a node as a caller, on a new connection, and returns when the
// response headers have arrived.
func (s *System) Open(node int, method, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+s.Nodes[node].Address("callers")+path, strings.NewReader(body))
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+Key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	req.GetBody = nil
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: responseTimeout}
	return client.Do(req)
}

// SetFaults configures the faults of a stand-in.
func (s *System) SetFaults(p *Process, path string, faults string) {
	resp, err := http.Post("http://"+p.Address("address")+path, "application/json", strings.NewReader(faults))
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(s.t, 2, resp.StatusCode/100, faults)
}

// Counters returns the counters of a stand-in.
func (s *System) Counters(p *Process) map[string]int64 {
	out := map[string]int64{}
	s.getJSON(p, "/counters", &out)
	return out
}

// Journal returns the requests that ran at the running services, from the services' own
// journals.
func (s *System) Journal() []service.Run {
	var all []service.Run
	for _, b := range s.Document.Servers {
		if p := s.Servers[b.Name]; b.Type == config.Service && !p.Exited() {
			var j service.Journal
			s.getJSON(p, "/journal", &j)
			all = append(all, j.Runs...)
		}
	}
	return all
}

// Runs returns how many requests with a path ran at a service, from its own journal.
func (s *System) Runs(server, path string) int {
	var j service.Journal
	s.getJSON(s.Servers[server], "/journal", &j)
	n := 0
	for _, r := range j.Runs {
		if r.Path == path {
			n += r.Count
		}
	}
	return n
}

// RequestsStarted returns how many requests began to run at all running backend servers, from the
// servers' own counters.
func (s *System) RequestsStarted() int64 {
	n := int64(0)
	for _, p := range s.Servers {
		if !p.Exited() {
			n += s.Counters(p)["runs"]
		}
	}
	return n
}

func (s *System) getJSON(p *Process, path string, v any) {
	resp, err := http.Get("http://" + p.Address("address") + path)
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(v), fmt.Sprintf("%s %s", p.Name, path))
}
