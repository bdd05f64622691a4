package soak

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"guavapaddle/internal/clock"
	"guavapaddle/internal/front"
	"guavapaddle/internal/logging"
	"guavapaddle/internal/testbed/cutpath"
)

// NodeCommand is the first argument with which the soak's program runs a node. The settings file and the file that
// holds the mode of its path to the servers follow.
const NodeCommand = "node"

// cutPollInterval is the interval at which a node reads the mode of its path to the servers.
const cutPollInterval = 20 * time.Millisecond

// RunNode runs a node like the product's program, except that the node loses its path to the servers when a file says so.
// The kernel of a test machine can't drop packets of one process only.
func RunNode(ctx context.Context, settingsFile, cutFile string) error {
	s, err := front.Load(settingsFile)
	if err != nil {
		return err
	}
	log, err := logging.NewBounded(os.Stdout, s.LogLevel)
	if err != nil {
		return err
	}
	defer log.Close()
	n, err := front.New(s, log.Logger)
	if err != nil {
		return err
	}
	p := &cutpath.Path{}
	n.DialServer = p.Dial
	go followCut(ctx, p, cutFile)
	return n.Run(ctx)
}

// followCut sets the mode of a path from a file until ctx ends.
func followCut(ctx context.Context, p *cutpath.Path, file string) {
	for ; ctx.Err() == nil; clock.Sleep(ctx, cutPollInterval) {
		b, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		// The file is empty while it is being written.
		if m, err := strconv.Atoi(strings.TrimSpace(string(b))); err == nil && cutpath.Mode(m) != p.Mode() {
			p.Set(cutpath.Mode(m))
		}
	}
}
