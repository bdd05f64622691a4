package table

import (
	"cmp"
	"net/http"
	"slices"

	"golang.org/x/time/rate"

	"guavapaddle/core/row"
	"guavapaddle/internal/testbed/standin/capacity"
	"guavapaddle/internal/testbed/standin/fault"
	iotable "guavapaddle/io/table"
)

// Table is a stand-in for the table service. The exported fields must be set before
// Start or Handler.
type Table struct {
	Listen      string  // IP:port; a free port of 127.0.0.1 if empty
	WriteRate   float64 // maximum transactions per second, capacity.DefaultWrites if zero; excess calls wait
	ReadRate    float64 // maximum reads and scans per second, capacity.DefaultReads if zero; excess calls wait
	KeepHistory bool    // record committed transactions for History
	Faults      fault.Set

	store  store
	writes *rate.Limiter
	reads  *rate.Limiter
}

// Start starts the server and returns its address.
func (t *Table) Start() (string, error) {
	mux := http.NewServeMux()
	mux.Handle("/table/v1/", t.Handler())
	return t.Faults.Serve(t.Listen, mux)
}

// Close stops the server. The rows are kept, and Start may be called again.
func (t *Table) Close() { t.Faults.Server.Close() }

// Handler returns the HTTP handler of the table, with its faults applied.
func (t *Table) Handler() http.Handler {
	if t.Faults.Counters == nil {
		t.Faults.Counters = &fault.Counters{}
	}
	t.writes = capacity.New(cmp.Or(t.WriteRate, capacity.DefaultWrites))
	t.reads = capacity.New(cmp.Or(t.ReadRate, capacity.DefaultReads))
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/v1/transact", t.transact)
	mux.HandleFunc("POST /table/v1/read", t.read)
	mux.HandleFunc("POST /table/v1/scan", t.scan)
	return t.Faults.Wrap(mux)
}

// History returns all committed transactions in commit order, if KeepHistory is set.
func (t *Table) History() []Commit {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	return slices.Clone(t.store.history)
}

// Transact executes tx directly, without an HTTP call, for tests.
func (t *Table) Transact(tx row.Tx) row.Result { return t.store.transact(tx, t.KeepHistory) }

// Rows returns the rows whose key has the given prefix directly, without an HTTP
// call, for tests.
func (t *Table) Rows(prefix string) []row.Row { return t.store.scan(prefix) }

// transact handles a transaction.
func (t *Table) transact(w http.ResponseWriter, r *http.Request) {
	var tx row.Tx
	if !fault.ReadJSON(w, r, &tx) || t.writes.Wait(r.Context()) != nil {
		return
	}
	t.Faults.Counters.Add("transactions", 1)
	res := t.store.transact(tx, t.KeepHistory)
	if !res.Committed {
		t.Faults.Counters.Add("conflicts", 1)
	}
	fault.WriteJSON(w, http.StatusOK, res)
}

// read handles a read.
func (t *Table) read(w http.ResponseWriter, r *http.Request) {
	var in iotable.ReadRequest
	if !fault.ReadJSON(w, r, &in) || t.reads.Wait(r.Context()) != nil {
		return
	}
	t.Faults.Counters.Add("reads", 1)
	fault.WriteJSON(w, http.StatusOK, iotable.Rows{Rows: t.store.read(in.Keys)})
}

// scan handles a scan.
func (t *Table) scan(w http.ResponseWriter, r *http.Request) {
	var in iotable.ScanRequest
	if !fault.ReadJSON(w, r, &in) || t.reads.Wait(r.Context()) != nil {
		return
	}
	t.Faults.Counters.Add("scans", 1)
	fault.WriteJSON(w, http.StatusOK, iotable.Rows{Rows: t.store.scan(in.Prefix)})
}
