// Package software tracks the versions of backend servers' software: which have served lately, and which one began
// each stream.
//
// # Method
//
// What two versions generate doesn't fit together, so a stream may only go on at servers of the version that began it.
// Within one response the node knows that version. A client that takes a stream up after its connection broke
// names the request that brought the first event, at any node. That node needs to know the version then:
//
//   - Origins holds the versions that began streams. A node records a stream there before its first event is
//     forwarded, and the nodes exchange what they have recorded.
//   - History holds the versions of each service that have served within Retention. While there was only one, a stream
//     that no node has recorded can only have begun there.
//
// If neither tells the version, it isn't known, and the stream must not go on.
//
// # Usage
//
//	h.Observe(now, servers)
//	o.Add(now, software.Origin{Stream: id, Service: "s", Version: "v1"})
//	origin, ok := o.Find(now, id)
//	if !ok {
//		origin.Version, ok = h.Only(now, "s")
//	}
package software
