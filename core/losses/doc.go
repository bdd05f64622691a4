// Package losses counts what became of requests, from the lines that nodes log of them:
// by route, by reason and by the time at which they ended.
//
// # Method
//
// A node writes one line for each request that has ended. A line may have words before
// its pairs, as a collector of logs puts them there; lines of other events, and lines that
// can't be read, count for nothing. A request ends at one node, so that the lines of all
// nodes can be added in any order.
//
// # Usage
//
//	t := &losses.Table{Every: 2 * time.Second}
//	for line := range lines { t.Add(line) }
//	for _, r := range t.Reasons() { fmt.Println(r.Route, r.Reason, r.Count) }
package losses
