package experiment

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"guavapaddle/internal/cli"
	"guavapaddle/internal/node"
	"guavapaddle/internal/testbed/lab"
)

const (
	nodeVariable   = "GUAVAPADDLE_EXPERIMENT_NODE"
	eventKey       = "event"
	listeningEvent = "listening"
	listenTimeout  = 10 * time.Second
	maxLogLine     = 1 << 16
)

// RunNode runs the command line of guavapaddle and exits if this process was started
// by an experiment as a node. Programs and tests that run experiments must call it
// first.
func RunNode() {
	if os.Getenv(nodeVariable) == "" {
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	e := &cli.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	code := e.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// spawn starts a node in a process of its own, so that the node can be killed as if
// its VM failed, and so that its processor time and memory are separate from those of
// the stand-ins.
func (r *run) spawn(s node.Settings) (*lab.Process, node.Addresses, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, node.Addresses{}, eris.Wrap(err, "path of this program")
	}
	cmd := exec.Command(program, arguments(s)...)
	cmd.Env = append(os.Environ(), nodeVariable+"=1")
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, node.Addresses{}, eris.Wrap(err, "node output")
	}
	if err := cmd.Start(); err != nil {
		return nil, node.Addresses{}, eris.Wrap(err, "start node")
	}
	listening, done := make(chan node.Addresses, 1), make(chan error, 1)
	log := r.logFile(s.Name)
	go func() {
		copyLog(out, listening, log)
		done <- cmd.Wait()
	}()
	r.processes = append(r.processes, cmd)
	p := &lab.Process{
		Name: s.Name, Done: done,
		Stop: func() { _ = cmd.Process.Signal(syscall.SIGTERM) },
		Kill: func() { _ = cmd.Process.Kill() },
	}
	select {
	case a, ok := <-listening:
		if ok {
			return p, a, nil
		}
		return nil, a, &StartError{Part: s.Name, Err: eris.New("process exited before it was listening")}
	case <-time.After(listenTimeout):
		p.Kill()
		return nil, node.Addresses{}, &StartError{Part: s.Name, Err: eris.New("process was not listening in time")}
	}
}

// arguments returns the command-line arguments of a node.
func arguments(s node.Settings) []string {
	return []string{
		"node", "-name", s.Name, "-data-centre", s.DataCentre, "-callers", s.Callers, "-peers", s.Peers,
		"-operators", s.Operators, "-table", s.Table, "-objects", s.Objects, "-vm-list", s.VMList,
		"-ca", s.CA, "-cert", s.Cert, "-key", s.Key, "-policy", s.Policy, "-planner", s.Planner, "-limit", s.Limit,
		"-notice", s.DrainNotice.String(), "-seed", strconv.FormatUint(s.Seed, 10), "-log-level", s.LogLevel,
	}
}

// copyLog copies the log of a node to log until it ends, and sends the addresses in it
// to listening.
func copyLog(out io.Reader, listening chan<- node.Addresses, log io.Writer) {
	defer close(listening)
	s := bufio.NewScanner(out)
	s.Buffer(make([]byte, 0, maxLogLine), maxLogLine)
	sent := false
	for s.Scan() {
		line := s.Text()
		if !sent && logField(line, eventKey) == listeningEvent {
			sent = true
			listening <- node.Addresses{
				Callers: logField(line, "callers"), Peers: logField(line, "peers"), Operators: logField(line, "operators"),
			}
		}
		_, _ = io.WriteString(log, line+"\n")
	}
	_, _ = io.Copy(io.Discard, out)
}

// logField returns the value of a field key=value in a log line. The value must not
// contain spaces.
func logField(line, key string) string {
	for _, f := range strings.Fields(line) {
		if v, ok := strings.CutPrefix(f, key+"="); ok {
			return v
		}
	}
	return ""
}

// logFile returns the destination of the log of a node. The log is discarded if there
// is no log directory or the file can't be created.
func (r *run) logFile(name string) io.Writer {
	if r.set.LogDir == "" {
		return io.Discard
	}
	f, err := os.Create(r.set.LogDir + "/" + name + ".log")
	if err != nil {
		return io.Discard
	}
	return f
}
