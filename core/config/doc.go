// Package config holds the configuration document that operators apply as a
// whole, with its checks and the questions that requests ask of it.
//
// A document is read strictly: names that are not defined, names given twice
// and missing values are refused, each with its JSON path. Validate finds
// contradictions and computes whether the least copies of everything declared
// fit in the engines' memory. The canonical form gives a document its hash, by
// which its body is stored and fetched.
//
// # Usage
//
// An operator's file goes through Load, which gives an *InvalidError with all
// problems; a body that was accepted before goes through Parse:
//
//	doc, err := config.Load(text)
//	index := config.NewIndex(doc, version)
//	team, ok := index.TeamByKey(bearer)
//	item, ok := index.Resolve("drafter")
//
// Diff lists what differs between two documents. Package core/config/head
// decides which version is in force.
//
// All sizes are bytes, all times milliseconds unless a name says otherwise.
package config
