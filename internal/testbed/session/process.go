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

// Process is a process started by a test.
type Process struct {
	Name string

	t           testing.TB
	cmd         *exec.Cmd
	args        []string
	outputFile  string       // file with the standard output of all its incarnations
	stderr      lockedBuffer // standard error of all its incarnations
	readyFields map[string]string
	exited      chan struct{}
	exitCode    int
}

// build builds the programs once per test binary and returns their directory.
func build(t testing.TB) string {
	programs.once.Do(func() {
		programs.dir, programs.err = os.MkdirTemp("", "guavapaddle-session-")
		if programs.err != nil {
			return
		}
		cmd := exec.Command("go", "build", "-o", programs.dir, "./cmd/guavapaddle", "./cmd/standin")
		cmd.Dir = moduleRoot(t)
		programs.out, programs.err = cmd.CombinedOutput()
	})
	require.NoError(t, programs.err, string(programs.out))
	return programs.dir
}

// Cleanup removes the built programs. TestMain calls it.
func Cleanup() {
	if programs.dir != "" {
		_ = os.RemoveAll(programs.dir)
	}
}

// moduleRoot returns the module's root directory.
func moduleRoot(t testing.TB) string {
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

// start runs a program and waits until it listens. A process that is still running at the
// end of the test is killed.
func start(t testing.TB, name, program string, args ...string) *Process {
	p := &Process{Name: name, t: t, outputFile: filepath.Join(t.TempDir(), "output"),
		args: append([]string{filepath.Join(build(t), program)}, args...)}
	p.launch(p.openOutput())
	t.Cleanup(p.Kill)
	p.awaitReady(0)
	return p
}

// openOutput opens the output file. A file is used because the reader of a pipe may lag
// behind: a test that has observed an effect of the process must find the lines that were
// written before it.
func (p *Process) openOutput() *os.File {
	outputFile, err := os.OpenFile(p.outputFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	require.NoError(p.t, err)
	return outputFile
}

// launch starts the process with the given output file, whose descriptor it closes in this
// process.
func (p *Process) launch(out *os.File) {
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout = out
	p.cmd.Stderr = &p.stderr
	// Kills the process if the test panics or times out.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(p.t, p.cmd.Start())
	p.exited = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		p.exitCode = p.cmd.ProcessState.ExitCode()
		close(p.exited)
	}()
}

// awaitReady waits until the process listens and reads its addresses from its output, of
// which the first skip bytes belong to earlier incarnations.
func (p *Process) awaitReady(skip int) {
	timeout := time.NewTimer(startTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(readyPoll)
	defer poll.Stop()
	for {
		for line := range strings.Lines(p.output()[skip:]) {
			if f := parseLogfmt(strings.TrimSuffix(line, "\n")); f["event"] == readyEvent && strings.HasSuffix(line, "\n") {
				p.readyFields = f
				return
			}
		}
		select {
		case <-poll.C:
		case <-p.exited:
			require.Fail(p.t, "process exited before it listened", "%s: %s", p.Name, p.Log())
		case <-timeout.C:
			require.Fail(p.t, "process does not listen in time", "%s: %s", p.Name, p.Log())
		}
	}
}

// output returns the process's standard output.
func (p *Process) output() string {
	b, err := os.ReadFile(p.outputFile)
	require.NoError(p.t, err)
	return string(b)
}

// lockedBuffer collects the output of a process; it is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends to the buffer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns everything written so far.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// parseLogfmt parses a logfmt line. Quoted values keep their spaces.
func parseLogfmt(line string) map[string]string {
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

// Address returns an address from the line that the process printed when it was ready.
func (p *Process) Address(field string) string { return p.readyFields[field] }

// Log returns the standard output and standard error of all incarnations of the process.
func (p *Process) Log() string {
	return p.output() + p.stderr.String()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	require.NoError(p.t, p.cmd.Process.Signal(s))
}

// Kill kills the process, even if it is stopped, and waits for its exit.
func (p *Process) Kill() {
	select {
	case <-p.exited:
		return
	default:
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Terminate sends SIGTERM to the process, waits for its exit and returns its exit code.
func (p *Process) Terminate() int {
	p.Signal(syscall.SIGTERM)
	return p.Wait()
}

// Wait waits for the process to exit and returns its exit code.
func (p *Process) Wait() int {
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		require.Fail(p.t, "process does not exit in time", "%s: %s", p.Name, p.Log())
	}
	return p.exitCode
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Restart kills the process and starts it again with the same arguments.
func (p *Process) Restart() {
	p.Kill()
	printed := len(p.output())
	p.launch(p.openOutput())
	p.awaitReady(printed)
}

// RestartWithUnreadOutput restarts the process with a pipe as its output, which is read only
// until the process listens.
func (p *Process) RestartWithUnreadOutput() {
	p.Kill()
	r, w, err := os.Pipe()
	require.NoError(p.t, err)
	p.t.Cleanup(func() { _ = r.Close() })
	p.launch(w)
	lines := bufio.NewReaderSize(r, 1)
	require.NoError(p.t, r.SetReadDeadline(time.Now().Add(startTimeout)))
	for p.readyFields = nil; p.readyFields["event"] != readyEvent; {
		line, err := lines.ReadString('\n')
		require.NoError(p.t, err)
		p.readyFields = parseLogfmt(strings.TrimSuffix(line, "\n"))
	}
}

// RestartAndStop restarts the process and sends it SIGTERM after a delay, whether or not it
// listens by then.
func (p *Process) RestartAndStop(after time.Duration) {
	p.Kill()
	p.launch(p.openOutput())
	<-time.After(after)
	p.Signal(syscall.SIGTERM)
}
