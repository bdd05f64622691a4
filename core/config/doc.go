// Package config defines the configuration document that operators apply as a
// whole, its validation, and an index for look-ups on the request path.
//
// Parsing is strict: unknown names, duplicate names and missing values are
// rejected, and each problem carries its JSON path. Validate finds
// contradictions and checks that the minimum number of copies of all declared
// models and adapters fits in the engines' memory. A document's hash is the
// hash of its canonical form; the body is stored and fetched by that hash.
//
// # Usage
//
// Load parses and validates an operator's file and returns an *InvalidError
// that lists all problems. Parse reads a body that was accepted before:
//
//	doc, err := config.Load(text)
//	index := config.NewIndex(doc, version)
//	team, ok := index.TeamByKey(bearer)
//	item, ok := index.Resolve("drafter")
//
// Diff lists the differences between two documents. Package core/config/head
// decides which version is in force.
//
// All sizes are in bytes and all times in milliseconds unless a name says
// otherwise.
package config
