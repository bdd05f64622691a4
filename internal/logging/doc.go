// Package logging provides the logger of all programs. It writes one line of
// key=value pairs (logfmt) per event.
//
// # Usage
//
//	log, err := logging.New(os.Stderr, "info")
//	log.Info("request-done", logging.Request(id), logging.Outcome(o))
//
// The message is the name of the event in kebab-case and is written under the key
// "event". Bodies, prompts and keys must never be logged.
package logging
