// Package grant schedules the requests of all nodes to model engines: it decides
// when and on which engine each request starts.
//
// # Method
//
// An engine reads prompts in chunks between the decoding steps of the streams that
// it runs. When prompts arrive faster than they are read, every step takes longer
// and so do the gaps between the tokens of all streams: three steps of 2,048
// prompt tokens take about 350 ms, while callers accept 300 ms. The number of
// prompt tokens that an engine has been sent and has not read is therefore
// bounded by Settings.MaxUnreadTokens. Requests beyond that wait in the scheduler, where they can
// still go to another engine and more urgent requests can overtake them.
//
// Requests wait in order of priority. Within a priority, those of teams that are
// over their fair share of their quota wait behind the others, and then the order
// of arrival counts. A request that can no longer start within its target is moved
// behind all that still can. A request that cannot start before its deadline is
// refused.
//
// Where a service has deferrable requests, its requests wait by class. Deferrable requests, which may
// start seconds later, leave the slots of each engine free that urgent ones are expected to need
// (core/headroom), start earliest due first, and are caught up before their deadline: those that are
// due first take a share of the slots that is always open to them, and then compete like urgent ones.
// An urgent request beyond its team's usual rate waits behind those of other teams, and one in a few
// goes with the most urgent priority, so that none starves. A request that excludes all holders of
// its model waits for another copy as long as it can start in time. All requests of other services are
// Ordinary, and none of this applies to them.
//
// A request refused for lack of room is promised a turn (core/turns), if one is left in the time for which its client
// waits. When it comes back at its turn it goes with the standing of its first arrival; at another time its
// target counts from that arrival, so that it is late and goes behind requests that can still be in time.
//
// A grant holds its prompt tokens until PrefillDone, which the entry node calls at the
// first byte of the answer, and a slot of the engine until Release.
//
// # Usage
//
//	s := grant.New(picker, grant.Settings{})
//	s.Enqueue(grant.Request{ID: 1, Pick: r, Priority: 2, TargetStart: t, Deadline: d})
//	for _, d := range s.Next(now) { send(d.ID, d) }
//	s.PrefillDone(now, 1)
//	s.Release(now, 1, balance.Succeeded)
//
// A Scheduler is not safe for concurrent use.
package grant
