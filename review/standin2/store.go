package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
	Gone  bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in for the platform's store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	log     []row
	ver     int64
	changed chan struct{}
	began   time.Time
	address string
}

func newStore() (*store, error) {
	s := &store{rows: map[rowID]row{}, changed: make(chan struct{}), began: time.Now()}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.tx)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
}

// apply writes and removes rows in one transaction; s.mu is held.
func (s *store) apply(set, remove []row) {
	s.ver++
	for _, r := range set {
		r.Ver, r.Gone = s.ver, false
		s.rows[rowID{r.Table, r.Part, r.Key}] = r
		s.log = append(s.log, r)
	}
	for _, r := range remove {
		id := rowID{r.Table, r.Part, r.Key}
		if _, ok := s.rows[id]; !ok {
			continue
		}
		delete(s.rows, id)
		s.log = append(s.log, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Gone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) tx(w http.ResponseWriter, req *http.Request) {
	var t struct {
		Expected []row `json:"expected"`
		Set      []row `json:"set-keys"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(req.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	var current []row
	for _, e := range t.Expected {
		r, found := s.rows[rowID{e.Table, e.Part, e.Key}]
		if found {
			current = append(current, r)
		}
		ok = ok && r.Ver == e.Ver
	}
	if !ok {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.apply(t.Set, t.Remove)
	s.reply(w, http.StatusOK, map[string]any{})
}

func (s *store) get(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for id, r := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.reply(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "more-pages": more})
}

func (s *store) feed(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		rows := []row{}
		for _, r := range s.log {
			if r.Table == q.Get("table") && r.Ver > after {
				rows = append(rows, r)
			}
		}
		if len(rows) > 0 || over {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-req.Context().Done():
			return
		}
	}
}

// reply sends a JSON body with the store's version and clock; s.mu is held.
func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"], body["now-ms"] = s.ver, time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
