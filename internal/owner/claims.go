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

	// slotTTL expires the claim of a load that its owner did not release. It is
	// longer than any load takes.
	slotTTL = 30 * time.Second
	// unloadTTL expires the claim of an unload that its owner did not release.
	// The order lifetime of the server is added.
	unloadTTL = time.Minute
	// unlimitedTTL is the claim lifetime for servers whose orders never expire.
	unlimitedTTL = 10 * time.Minute
	// shareRotation is how long a node keeps its static share of the slots.
	shareRotation = 15 * time.Second
)

type (
	// claims manages expiring claims in the table. A node may take over a claim
	// whose row it has observed unchanged for the claim's time to live.
	claims struct {
		o         *Owner
		mu        sync.Mutex
		seq       uint64
		sightings map[string]sighting
	}

	sighting struct {
		revision uint64
		since    time.Duration
	}

	// claim identifies a claimed row; the zero claim has no row.
	claim struct {
		key      string
		revision uint64
	}

	// claimValue is the value of a claim's row.
	claimValue struct {
		Token  string       `json:"token"`
		For    string       `json:"for"` // human-readable description
		Server string       `json:"server"`
		Item   backend.Item `json:"item"`
		TTLMS  int64        `json:"ttl-ms"`
	}
)

func newClaims(o *Owner) *claims { return &claims{o: o, sightings: map[string]sighting{}} }

// acquire claims the first free key. It returns false if none is free, and the
// table's error if the table is unavailable.
func (c *claims) acquire(ctx context.Context, server string, item backend.Item, ttl time.Duration, keys ...string) (claim, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	rows, err := c.o.Table.Read(ctx, keys...)
	if err != nil {
		return claim{}, false, err
	}
	for _, r := range rows {
		if !c.isFree(r) {
			continue
		}
		acquired, ok, err := c.write(ctx, r, server, item, ttl)
		if ok || err != nil {
			return acquired, ok, err
		}
	}
	return claim{}, false, nil
}

// write claims a row. If the outcome of the transaction is unknown, it reads the
// row back.
func (c *claims) write(ctx context.Context, r row.Row, server string, item backend.Item, ttl time.Duration) (claim, bool, error) {
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

// isFree reports whether a row can be claimed: it is absent, or its claim expired.
func (c *claims) isFree(r row.Row) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Revision == 0 {
		delete(c.sightings, r.Key)
		return true
	}
	now := c.o.now()
	s := c.sightings[r.Key]
	if s.revision != r.Revision {
		s = sighting{revision: r.Revision, since: now}
		c.sightings[r.Key] = s
	}
	var v claimValue
	if json.Unmarshal(r.Value, &v) != nil {
		return false
	}
	return now-s.since >= time.Duration(v.TTLMS)*time.Millisecond
}

// release deletes a claim. If that fails, the claim expires later.
func (c *claims) release(ctx context.Context, cl claim) {
	if cl.key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
	defer cancel()
	_, err := c.o.Table.Transact(ctx, row.Tx{}.When(cl.key, cl.revision).Delete(cl.key))
	if err != nil {
		c.o.Metrics.countLeaseEvent("claim-left")
	}
}

// inheritedUnloads returns the unload claims on names that earlier owners of a
// server made and did not release.
func (c *claims) inheritedUnloads(ctx context.Context, server string, names []string) (map[backend.Item]claim, error) {
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

// token returns a unique claim token.
func (c *claims) token() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	return c.o.Node + "/" + c.o.Incarnation + "/" + strconv.FormatUint(c.seq, 10)
}

// slotShare returns how many loads this node may run while the table is
// unavailable. Each slot is assigned to one live node at a time and reassigned
// every shareRotation.
func (o *Owner) slotShare(slots int) int {
	ring := rendezvous.New(o.live(), xxhash.Sum64String)
	round := strconv.FormatInt(time.Now().Unix()/int64(shareRotation/time.Second), 10)
	n := 0
	for i := range slots {
		if ring.Lookup(strconv.Itoa(i)+"/"+round) == o.Node {
			n++
		}
	}
	return n
}

// slotKeys returns the table keys of n weight-store slots.
func slotKeys(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = slotPrefix + strconv.Itoa(i)
	}
	return keys
}
