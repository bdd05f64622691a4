package logging

import (
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"guavapaddle/core/outcome"
)

// Keys shared by the lines of many events.
const (
	requestKey = "request-id"
	teamKey    = "team"
	kindKey    = "kind"
	modelKey   = "model"
	serverKey  = "server"
	outcomeKey = "outcome"
	reasonKey  = "reason"
	nodeKey    = "node"
)

// LevelError reports an invalid log level.
type LevelError struct {
	Level string
	Err   error
}

// Error returns the level and the cause.
func (e *LevelError) Error() string { return fmt.Sprintf("log level %q: %v", e.Level, e.Err) }

// Unwrap returns the cause.
func (e *LevelError) Unwrap() error { return e.Err }

// New returns a logger that writes lines of the given level and above to w. Levels
// are "debug", "info", "warn" and "error". The error is a *LevelError.
func New(w io.Writer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, &LevelError{Level: level, Err: err}
	}
	encoder := zaplogfmt.NewEncoder(zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		MessageKey:     "event",
		LineEnding:     zapcore.DefaultLineEnding,
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	})
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), l)), nil
}

// Request returns the field with the ID of a request.
func Request(id string) zap.Field { return zap.String(requestKey, id) }

// Team returns the field with the name of a team.
func Team(name string) zap.Field { return zap.String(teamKey, name) }

// Kind returns the field with the name of a kind of work.
func Kind(name string) zap.Field { return zap.String(kindKey, name) }

// Model returns the field with the name of a model or adapter.
func Model(name string) zap.Field { return zap.String(modelKey, name) }

// Server returns the field with the name of a backend server.
func Server(name string) zap.Field { return zap.String(serverKey, name) }

// Outcome returns the field with the outcome of a request.
func Outcome(o outcome.Outcome) zap.Field { return zap.String(outcomeKey, string(o)) }

// Reason returns the field with the reason of an outcome.
func Reason(r outcome.Reason) zap.Field { return zap.String(reasonKey, string(r)) }

// Node returns the field with the name of a node.
func Node(name string) zap.Field { return zap.String(nodeKey, name) }
