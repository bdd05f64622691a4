// Package path decides whether a node opens its connections to backend servers itself or through another
// node.
//
// # Method
//
// A node may lose its own path to some or all backend servers while clients, the store and other nodes still
// reach it, and while other nodes reach the servers. A failed connection alone doesn't tell this from the
// failure of a server. Two observations do: another node reaches the server at the same time, or connections
// to several servers failed and none has been opened since. A Tracker keeps both.
//
// A server that only another node reaches is lost to this node: connections to it go through other nodes
// first. If several servers failed since this node last opened a connection, and another node reached one of
// them, this node is isolated, and so are all servers lost to it, also those that it hasn't tried yet. One
// connection that it opens itself ends that. Probes at ProbeInterval look for it; a connection that was
// open before the cut proves nothing, since a cut may let it live on.
//
// # Usage
//
//	p := tracker.Plan(now, address)
//	if !p.ThroughPeer {
//		tracker.RecordOwn(now, address, path.Refused)
//	}
//	tracker.RecordThroughPeer(now, address, true)
package path
