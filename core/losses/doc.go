// Package losses counts the outcomes of requests from the log lines of nodes: by route, by
// reason and by the time at which the requests ended.
//
// # Method
//
// A node logs one line for each completed request. A line may have other text before its
// key-value pairs, as log collectors add it. Lines of other events and malformed lines are
// ignored. Each request ends on exactly one node, so the lines of all nodes can be added in
// any order.
//
// # Usage
//
//	t := &losses.Table{Interval: 2 * time.Second}
//	for line := range lines { t.Add(line) }
//	for _, r := range t.Reasons() { fmt.Println(r.Route, r.Reason, r.Count) }
package losses
