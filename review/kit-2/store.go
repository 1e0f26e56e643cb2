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

// item is a record of the store in the format of its responses.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

const (
	// historyTime is how long the store keeps its history (history_s).
	historyTime = 20 * time.Second
	// pageItems and pageBytes limit a page of /kv-range.
	pageItems = 500
	pageBytes = 1 << 20
)

// store stands in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []event
	// dropped is the revision up to which the history is gone.
	dropped int64
	leases  map[int64]*storeLease
	changed chan struct{}
	address string
	server  *http.Server
}

// event is a change with the time at which it was made.
type event struct {
	item
	at time.Time
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore() *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("listen for the store: %v", err)
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(listener)
	return s
}

// put writes a record as the operator or a server does.
func (s *store) put(key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, content, 0)
}

// remove removes a record as the operator or a server does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

// write writes a record. The caller holds the lock.
func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	created := s.revision
	if known, ok := s.items[key]; ok {
		created = known.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.record(s.items[key])
}

// delete removes a record. The caller holds the lock.
func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(change item) {
	s.history = append(s.history, event{change, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the history that is too old. The caller holds the lock.
func (s *store) forget() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	content, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	reply(w, http.StatusOK, found)
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	items := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, found)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	count, size := 0, 0
	for count < len(items) && count < pageItems && (count == 0 || size+len(items[count].Value) <= pageBytes) {
		size += len(items[count].Value)
		count++
	}
	reply(w, http.StatusOK, map[string]any{"items": items[:count], "has_more": count < len(items), "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.forget()
		if after < s.dropped {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []item{}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("prefix")) {
				events = append(events, change.item)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, condition := range call.Expect {
		known, ok := s.items[condition.Key]
		if ok {
			current = append(current, known)
		}
		holds = holds && known.Revision == condition.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range call.Puts {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, put := range call.Puts {
		s.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range call.Remove {
		s.delete(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(len(s.leases)) + 70000
	lease := &storeLease{ttl: time.Duration(max(call.TTLMS, 1000)) * time.Millisecond}
	lease.timer = time.AfterFunc(lease.ttl, func() { s.expire(id) })
	s.leases[id] = lease
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": lease.ttl.Milliseconds()})
}

// expire ends a lease and removes its records. Ended leases stay in the map as nil, so
// that their numbers are not given again.
func (s *store) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[id] = nil
	for key, found := range s.items {
		if found.Lease == id {
			s.delete(key)
		}
	}
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	lease.timer.Reset(lease.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": lease.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	lease := s.leases[id]
	s.mu.Unlock()
	if lease == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	lease.timer.Stop()
	s.expire(id)
	reply(w, http.StatusOK, map[string]any{})
}
