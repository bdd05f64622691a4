package owner

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"guavapaddle/core/backend"
	"guavapaddle/core/row"
	"guavapaddle/io/table"
)

const (
	slotPrefix   = "owner/slot/"
	unloadPrefix = "owner/unload/"

	// slotTTL ends the claim of a load that its owner doesn't end, longer
	// than any load takes.
	slotTTL = 30 * time.Second
	// unloadTTL ends the claim of an unload likewise. A server's order
	// lifetime is added.
	unloadTTL = time.Minute
	// foreverTTL stands for the lifetime of orders that never end.
	foreverTTL = 10 * time.Minute
	// turn is how long a node keeps its static share of the slots.
	turn = 15 * time.Second
)

type (
	// claims makes claims in the table that expire: a claim whose row another
	// node has seen unchanged for its time to live is that node's to take.
	claims struct {
		o    *Owner
		mu   sync.Mutex
		seq  uint64
		seen map[string]claimSight
	}

	claimSight struct {
		revision uint64
		since    time.Duration
	}

	// claim is a row that was claimed; a zero claim has no row.
	claim struct {
		key      string
		revision uint64
	}

	// claimValue is the value of a claim's row.
	claimValue struct {
		Token  string       `json:"token"`
		For    string       `json:"for"` // for people
		Server string       `json:"server"`
		Item   backend.Item `json:"item"`
		TTLMS  int64        `json:"ttl-ms"`
	}
)

func newClaims(o *Owner) *claims { return &claims{o: o, seen: map[string]claimSight{}} }

// acquire claims the first free one of keys. It returns false if none is free,
// and the table's error if it doesn't answer.
func (c *claims) acquire(ctx context.Context, server string, item backend.Item, ttl time.Duration, keys ...string) (claim, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	rows, err := c.o.Table.Read(ctx, keys...)
	if err != nil {
		return claim{}, false, err
	}
	for _, r := range rows {
		if !c.free(r) {
			continue
		}
		got, ok, err := c.put(ctx, r, server, item, ttl)
		if ok || err != nil {
			return got, ok, err
		}
	}
	return claim{}, false, nil
}

// put claims a row, reading back if the table's answer was lost.
func (c *claims) put(ctx context.Context, r row.Row, server string, item backend.Item, ttl time.Duration) (claim, bool, error) {
	token := c.token()
	value, err := json.Marshal(claimValue{
		Token: token, For: server + " " + item.String(), Server: server, Item: item, TTLMS: ttl.Milliseconds(),
	})
	if err != nil {
		return claim{}, false, err
	}
	result, err := c.o.Table.Transact(ctx, row.Tx{}.When(r.Key, r.Revision).Put(r.Key, value))
	if err == nil {
		return claim{key: r.Key, revision: result.Revision}, result.Committed, nil
	}
	if table.KindOf(err) != table.Uncertain {
		return claim{}, false, err
	}
	rows, err := c.o.Table.Read(ctx, r.Key)
	if err != nil {
		return claim{}, false, err
	}
	var v claimValue
	ours := json.Unmarshal(rows[0].Value, &v) == nil && v.Token == token
	return claim{key: r.Key, revision: rows[0].Revision}, ours, nil
}

// free tells whether a row is there to be claimed.
func (c *claims) free(r row.Row) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Revision == 0 {
		delete(c.seen, r.Key)
		return true
	}
	now := c.o.now()
	s := c.seen[r.Key]
	if s.revision != r.Revision {
		s = claimSight{revision: r.Revision, since: now}
		c.seen[r.Key] = s
	}
	var v claimValue
	if json.Unmarshal(r.Value, &v) != nil {
		return false
	}
	return now-s.since >= time.Duration(v.TTLMS)*time.Millisecond
}

// release ends a claim; if that fails the claim expires.
func (c *claims) release(ctx context.Context, cl claim) {
	if cl.key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	_, err := c.o.Table.Transact(ctx, row.Tx{}.When(cl.key, cl.revision).Delete(cl.key))
	if err != nil {
		c.o.Metrics.lease("claim-left")
	}
}

// left returns the claims of unloads that earlier owners of a server made for
// names and did not end.
func (c *claims) left(ctx context.Context, server string, names []string) (map[backend.Item]claim, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	keys := make([]string, len(names))
	for i, n := range names {
		keys[i] = unloadPrefix + n
	}
	rows, err := c.o.Table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	found := map[backend.Item]claim{}
	for _, r := range rows {
		var v claimValue
		if r.Revision != 0 && json.Unmarshal(r.Value, &v) == nil && v.Server == server {
			found[v.Item] = claim{key: r.Key, revision: r.Revision}
		}
	}
	return found, nil
}

// token returns a value that no other claim has.
func (c *claims) token() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	return c.o.Node + "/" + c.o.Incarnation + "/" + strconv.FormatUint(c.seq, 10)
}

// share returns how many loads this node may run while the table is out: each
// slot belongs to one of the live nodes at a time, which changes each turn.
func (o *Owner) share(slots int) int {
	ring := rendezvous.New(o.live(), xxhash.Sum64String)
	round := strconv.FormatInt(time.Now().Unix()/int64(turn/time.Second), 10)
	n := 0
	for i := range slots {
		if ring.Lookup(strconv.Itoa(i)+"/"+round) == o.Node {
			n++
		}
	}
	return n
}

// slotKeys returns the keys of the weight store's slots.
func slotKeys(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = slotPrefix + strconv.Itoa(i)
	}
	return keys
}
