// Package sample builds the sample configurations of both deployments at their present
// sizes. The committed files in the directory samples are generated from them, and a
// test checks that they match.
//
// The API keys of the teams are public test keys; Key returns the key of a team.
//
// # Usage
//
//	doc := sample.Corella()
//	key := sample.Key("shire-north")
package sample
