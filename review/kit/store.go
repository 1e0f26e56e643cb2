package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historySeconds is history_s of the settings.
const historySeconds = 20

// Item is a record of the store, or a change of one.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is the platform's metadata store, as PROTOCOL.md describes it.
type Store struct {
	Address string
	// WatchBytes limits the values in one answer of a watch, 0 for no limit.
	WatchBytes int

	mu       sync.Mutex
	revision int64
	items    map[string]Item
	history  []Item
	// oldest is the revision after which the history is complete.
	oldest    int64
	leases    map[int64]*lease
	lastLease int64
	changed   chan struct{}
}

// NewStore starts a store.
func NewStore(address string) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{Address: listener.Addr().String(), revision: 1, oldest: 1, items: map[string]Item{}, leases: map[int64]*lease{}, lastLease: 77000, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(listener, mux) }()
	go s.expire()
	return s, nil
}

// Put writes a record as the operator or a server does, and returns the time of
// the acknowledgement.
func (s *Store) Put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
	return time.Now()
}

// Value returns the value of a key, nil if there is none.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Delete removes a record.
func (s *Store) Delete(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	return time.Now()
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	created := s.revision
	if known, ok := s.items[key]; ok {
		created = known.Created
	}
	item := Item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease, at: time.Now()}
	s.items[key] = item
	s.history = append(s.history, item)
	s.wake()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases and drops old history.
func (s *Store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, held := range s.leases {
			if now.After(held.ends) {
				s.endLease(id)
			}
		}
		for len(s.history) > 0 && now.Sub(s.history[0].at) > historySeconds*time.Second {
			s.oldest = s.history[0].Revision
			s.history = s.history[1:]
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.FormValue("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"at": at})
		return
	}
	reply(w, http.StatusOK, struct {
		Item
		At int64 `json:"at"`
	}{item, at})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	const pageItems, pageBytes = 500, 1 << 20
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []Item{}, 0, false
	for _, key := range keys {
		if len(items) == pageItems || len(items) > 0 && size+len(s.items[key].Value) > pageBytes {
			more = true
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.oldest {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events, size := []Item{}, 0
		at, changed := s.revision, s.changed
		for _, event := range s.history {
			if event.Revision <= after || !strings.HasPrefix(event.Key, prefix) {
				continue
			}
			if s.WatchBytes > 0 && len(events) > 0 && size+len(event.Value) > s.WatchBytes {
				at = events[len(events)-1].Revision
				break
			}
			events = append(events, event)
			size += len(event.Value)
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expect []struct {
			Key      string
			Revision int64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	current := []Item{}
	for _, row := range call.Expect {
		item, ok := s.items[row.Key]
		if ok {
			current = append(current, item)
		}
		failed = failed || item.Revision != row.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range call.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, put := range call.Puts {
		s.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range call.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := max(call.TTL, 1000)
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: time.Duration(ttl) * time.Millisecond, ends: time.Now().Add(time.Duration(ttl) * time.Millisecond)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	held, ok := s.leases[id]
	if ok {
		held.ends = time.Now().Add(held.ttl)
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_ms": held.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{})
}

func reply(w http.ResponseWriter, status int, value any) {
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
