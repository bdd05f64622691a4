// Package grant decides when and where each request to a model engine begins,
// for all nodes together.
//
// # Method
//
// An engine reads prompts in pieces between the tokens of the streams that it
// runs. Prompts that arrive faster than they are read make every step longer,
// and the pauses of all streams with them: three steps of 2,048 prompt tokens
// take about 350 ms, more than the 300 ms that callers bear. So the tokens that
// an engine has been sent and hasn't read are bounded by Tokens, and what would
// go beyond waits here, where it can still go to another engine and more
// urgent requests pass it.
//
// Requests wait in the order of their urgency; of the same urgency, those of teams
// that use much of their quota wait behind the others; then in the order of their
// arrival. One that can't begin within its target any more goes behind all that
// still can. One that can't begin before it expires is refused.
//
// A grant holds its tokens until Begun, which the entry node calls with the first
// byte of the answer, and a slot of the engine until Release.
//
// # Usage
//
//	s := grant.New(picture, grant.Settings{})
//	s.Offer(grant.Request{ID: 1, Pick: r, Priority: 2, Target: t, Expire: e})
//	for _, d := range s.Next(now) { tell(d.ID, d) }
//	s.Begun(now, 1)
//	s.Release(now, 1, balance.Good)
//
// A Scheduler is not safe for concurrent use.
package grant
