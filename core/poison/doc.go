// Package poison finds requests, and parts of their prompts, that crash backend servers, and decides which are refused for it.
//
// # Problem
//
// A request may crash each server that begins to respond to it, and come again. Requests may also share parts of their prompts. If
// one part crashes each server, requests that differ in everything else crash one server after the other. At each crash many other requests are in flight at the server,
// with parts of their own, and most of these are sound and popular. A server crashes when it begins to respond, or shortly
// after (BeginTime).
//
// # Method
//
// A node that notices that a server has ended reports a Crash: the requests that it had in flight there, with the parts of
// their prompts but for the last, which is the request's own, and one that stands for the whole request (CopyOf). Tracker merges the crashes of all nodes. A part is suspected
// for the crashes of servers at which a request with it was in flight, under two conditions:
//
//   - No server of the same service has begun a response to a request with the part after the crash and lived on (Sound). A
//     part that crashes every server never has such a response, a popular part soon has one. Against a part that has had one,
//     crashes therefore count only once later ones would be known.
//   - The request was sent after the crash before that counts. Servers that end together count as one crash, whatever
//     was in flight at them. Copies of a request that was never sound count at each server, since clients may send several at
//     the same time.
//
// A part with minCrashes such crashes explains them, if no other part explains more. All crashes that it explains are taken
// away from the other parts, and the rest is looked at again (a greedy set cover): parts that were only in flight beside it are not
// suspected any longer, and a second part that crashes servers is found beside the first.
//
// A whole request goes before a part of its prompt unless that explains minCrashes more: requests that share the part with it may be
// sound. Each new request with a part that crashes servers counts against the part.
//
// The decision is a Block: the part, with all other parts that every one of its requests had and that no response shows to be
// sound. Requests with all parts of a block are refused. A request that has only some of them is sent, and its end
// distinguishes them. In an outage of all servers of a service no response is sound, and any part that most requests share explains the crashes.
// A block whose crashes aren't separated by sound responses to other requests is therefore provisional, and tested by single requests all the time.
//
// A block outlasts the requests that it refuses. It is lifted when another one explains its crashes better, or when a response
// to a request with its parts was sound after all, for which the leader admits single requests, twice at most
// (trialDelays), and three times, two of them early, where only copies of one request come, so that nothing else can show the end of an
// outage (aloneTrialDelays).
//
// # Usage
//
//	var t poison.Tracker
//	t.Add(now, crash)
//	t.AddSound(now, sound)
//	for _, b := range t.Blocks(now) {
//		if b.Refuses(service, parts) {
//			// Refuse the request.
//		}
//	}
package poison
