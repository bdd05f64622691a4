package session

import (
	"bufio"
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 60 * time.Second
	readyPoll    = 5 * time.Millisecond
	readyEvent   = "listening"
)

var programs struct {
	once sync.Once
	dir  string
	out  []byte
	err  error
}

// Process is a process that this test started.
type Process struct {
	Name string

	t      testing.TB
	cmd    *exec.Cmd
	args   []string
	out    string       // file of its standard output, of all its lives
	errors lockedBuffer // standard error
	ready  map[string]string
	ended  chan struct{}
	code   int
}

// build builds the programs once and returns their directory.
func build(t testing.TB) string {
	programs.once.Do(func() {
		programs.dir, programs.err = os.MkdirTemp("", "guavapaddle-session-")
		if programs.err != nil {
			return
		}
		cmd := exec.Command("go", "build", "-o", programs.dir, "./cmd/guavapaddle", "./cmd/standin")
		cmd.Dir = root(t)
		programs.out, programs.err = cmd.CombinedOutput()
	})
	require.NoError(t, programs.err, string(programs.out))
	return programs.dir
}

// Cleanup removes what was built. TestMain calls it.
func Cleanup() {
	if programs.dir != "" {
		_ = os.RemoveAll(programs.dir)
	}
}

// root returns the module's directory.
func root(t testing.TB) string {
	dir, err := os.Getwd()
	require.NoError(t, err)
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		parent := filepath.Dir(dir)
		require.NotEqual(t, parent, dir, "no go.mod above the test")
		dir = parent
	}
}

// start runs a program and waits until it listens. The process is killed at
// the end of the test if it still runs.
func start(t testing.TB, name, program string, args ...string) *Process {
	p := &Process{Name: name, t: t, out: filepath.Join(t.TempDir(), "output"),
		args: append([]string{filepath.Join(build(t), program)}, args...)}
	p.launch(p.openOutput())
	t.Cleanup(p.Kill)
	p.awaitReady(0)
	return p
}

// openOutput opens the file of the process's output. It is a file and not a
// pipe, whose reader may be behind: a test that has seen an effect of the
// process finds the line that was written before it.
func (p *Process) openOutput() *os.File {
	out, err := os.OpenFile(p.out, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	require.NoError(p.t, err)
	return out
}

// launch starts the process with an output, which is closed on this side.
func (p *Process) launch(out *os.File) {
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout = out
	p.cmd.Stderr = &p.errors
	// A test that panics or times out leaves no process behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(p.t, p.cmd.Start())
	p.ended = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.ended)
	}()
}

// awaitReady waits until the process listens, and finds its addresses in what
// it has printed beyond the bytes of its earlier lives.
func (p *Process) awaitReady(earlier int) {
	timeout := time.NewTimer(startTimeout)
	defer timeout.Stop()
	look := time.NewTicker(readyPoll)
	defer look.Stop()
	for {
		for line := range strings.Lines(p.output()[earlier:]) {
			if f := fields(strings.TrimSuffix(line, "\n")); f["event"] == readyEvent && strings.HasSuffix(line, "\n") {
				p.ready = f
				return
			}
		}
		select {
		case <-look.C:
		case <-p.ended:
			require.Fail(p.t, "process ended", "%s: %s", p.Name, p.Log())
		case <-timeout.C:
			require.Fail(p.t, "process does not listen", "%s: %s", p.Name, p.Log())
		}
	}
}

// output returns the process's standard output.
func (p *Process) output() string {
	b, err := os.ReadFile(p.out)
	require.NoError(p.t, err)
	return string(b)
}

// lockedBuffer collects what a process writes.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write adds to the buffer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns what was written.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// fields splits a logfmt line. Quoted values keep their spaces.
func fields(line string) map[string]string {
	out := map[string]string{}
	for line != "" {
		key, rest, ok := strings.Cut(strings.TrimLeft(line, " "), "=")
		if !ok {
			return out
		}
		var value string
		if strings.HasPrefix(rest, `"`) {
			end := strings.Index(rest[1:], `"`)
			if end < 0 {
				return out
			}
			value, line = rest[1:end+1], rest[end+2:]
		} else {
			value, line, _ = strings.Cut(rest, " ")
		}
		out[key] = value
	}
	return out
}

// Address returns an address from the line that the process began with.
func (p *Process) Address(field string) string { return p.ready[field] }

// Log returns what the process has printed.
func (p *Process) Log() string {
	return p.output() + p.errors.String()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	require.NoError(p.t, p.cmd.Process.Signal(s))
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	select {
	case <-p.ended:
		return
	default:
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Terminate asks the process to stop and returns its exit code.
func (p *Process) Terminate() int {
	p.Signal(syscall.SIGTERM)
	return p.Wait()
}

// Wait waits for the end of the process and returns its exit code.
func (p *Process) Wait() int {
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		require.Fail(p.t, "process does not end", "%s: %s", p.Name, p.Log())
	}
	return p.code
}

// Ended tells whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Restart starts a process anew, with the same arguments.
func (p *Process) Restart() {
	p.Kill()
	earlier := len(p.output())
	p.launch(p.openOutput())
	p.awaitReady(earlier)
}

// RestartUnread starts a process anew. Its output is read until it listens, and
// then no more.
func (p *Process) RestartUnread() {
	p.Kill()
	r, w, err := os.Pipe()
	require.NoError(p.t, err)
	p.t.Cleanup(func() { _ = r.Close() })
	p.launch(w)
	lines := bufio.NewReaderSize(r, 1)
	require.NoError(p.t, r.SetReadDeadline(time.Now().Add(startTimeout)))
	for p.ready = nil; p.ready["event"] != readyEvent; {
		line, err := lines.ReadString('\n')
		require.NoError(p.t, err)
		p.ready = fields(strings.TrimSuffix(line, "\n"))
	}
}

// RestartAndStop starts a process anew and asks it to stop after a delay,
// whether it listens by then or not.
func (p *Process) RestartAndStop(after time.Duration) {
	p.Kill()
	p.launch(p.openOutput())
	<-time.After(after)
	p.Signal(syscall.SIGTERM)
}
