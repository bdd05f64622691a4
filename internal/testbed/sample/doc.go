// Package sample builds the sample documents of both deployments at the sizes
// that they have today. The committed files in the directory samples are their
// output; a test compares them.
//
// The teams' keys are test keys and known to everybody: Key gives the key
// of a team.
//
// # Usage
//
//	doc := sample.Corella()
//	key := sample.Key("shire-north")
package sample
