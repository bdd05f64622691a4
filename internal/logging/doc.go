// Package logging makes the logger of all programs: one line of key=value
// pairs (logfmt) for each event.
//
// # Usage
//
//	log, err := logging.New(os.Stderr, "info")
//	log.Info("request-done", logging.Request(id), logging.Outcome(o))
//
// The message of a line is the event's name in kebab-case and stands under the
// key "event". Bodies, prompts and keys are never logged.
package logging
