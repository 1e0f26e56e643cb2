package dcstandin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// orderRecord is what a server knows of one order.
type orderRecord struct {
	runs   int
	done   bool
	answer []byte
}

// OrderAnswer is the JSON body of an order that ran.
type OrderAnswer struct {
	Service dcid.ServiceName `json:"service"`
	Key     dcid.OrderKey    `json:"key"`
	// Run counts the runs of the order on this server, from 1.
	Run int `json:"run"`
}

// Runs returns how often this server started an order.
func (u *Upstream) Runs(key JournalKey) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if record := u.orders[key]; record != nil {
		return record.runs
	}
	return 0
}

// order runs an order each time it is asked: the stand-in does not remove
// duplicates, so that the journal shows them. Neither cancellation nor the
// deadline stops an order that has started.
func (u *Upstream) order(w http.ResponseWriter, r *http.Request) {
	detached := context.WithoutCancel(r.Context())
	request, ok := u.receive(detached, w, r)
	if !ok {
		return
	}
	defer request.stop()
	if request.key == "" {
		u.refuse(w, http.StatusBadRequest)
		return
	}
	if !u.acquire(r.Context(), w, request) {
		return
	}
	defer u.release()
	key := JournalKey{request.department, request.key}
	run := u.startOrder(key)
	if u.crashes(request.body) {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	begin := u.clock.Now()
	u.pause(detached, request.halted, u.serviceTime(), nil)
	request.runTime = u.clock.Since(begin)
	answer := u.finishOrder(key, run)
	u.thaw(detached, request.halted)
	u.answer(w, request, answer)
}

func (u *Upstream) startOrder(key JournalKey) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	record := u.orders[key]
	if record == nil {
		record = &orderRecord{}
		u.orders[key] = record
	}
	record.runs++
	u.stats.Orders++
	u.journal.record(key, u.config.Address)
	return record.runs
}

func (u *Upstream) finishOrder(key JournalKey, run int) []byte {
	answer, _ := json.Marshal(OrderAnswer{Service: u.config.Service, Key: key.Key, Run: run})
	u.mu.Lock()
	defer u.mu.Unlock()
	record := u.orders[key]
	record.done = true
	record.answer = answer
	return answer
}

// orderOutcome answers 200 with the recorded answer of an order that ran here.
// 404 proves nothing: the order may run here later or on another server.
func (u *Upstream) orderOutcome(w http.ResponseWriter, r *http.Request) {
	u.thaw(r.Context(), u.halt())
	key := JournalKey{dcid.Department(r.Header.Get(HeaderDepartment)), dcid.OrderKey(r.PathValue("key"))}
	u.mu.Lock()
	defer u.mu.Unlock()
	record := u.orders[key]
	if record == nil || !record.done {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(HeaderKey, string(key.Key))
	_, _ = w.Write(record.answer)
}
