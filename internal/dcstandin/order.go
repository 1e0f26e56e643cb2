package dcstandin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// orderRecord is what a server has recorded of one order.
type orderRecord struct {
	// runs counts the runs that started. done is set when a run has finished,
	// answer is the body of the response to the run that finished last.
	runs   int
	done   bool
	answer []byte
}

// OrderResponse is the JSON body of the response to an order that ran.
type OrderResponse struct {
	Service dcid.ServiceName `json:"service"`
	Key     dcid.OrderKey    `json:"key"`
	// Run is the number of this run of the order on this server, from 1.
	Run int `json:"run"`
}

// Runs returns how often this server started an order.
func (u *Upstream) Runs(id OrderID) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if record := u.orders[id]; record != nil {
		return record.runs
	}
	return 0
}

// order runs an order each time it is requested: the stand-in does not remove
// duplicates, so that the RunLog shows them. Neither cancellation nor the
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
	if !u.acquireSlot(r.Context(), w, request) {
		return
	}
	defer u.releaseSlot()
	key := OrderID{request.department, request.key}
	run := u.startOrder(key)
	if u.triggersCrash(request.body) {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	start := u.clock.Now()
	u.sleep(detached, request.stopped, u.serviceTime(), nil)
	request.runTime = u.clock.Since(start)
	answer := u.finishOrder(key, run)
	u.waitWhileFrozen(detached, request.stopped)
	u.answer(w, request, answer)
}

func (u *Upstream) startOrder(id OrderID) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	record := u.orders[id]
	if record == nil {
		record = &orderRecord{}
		u.orders[id] = record
	}
	record.runs++
	u.stats.Orders++
	u.runLog.record(id, u.config.Address)
	return record.runs
}

func (u *Upstream) finishOrder(id OrderID, run int) []byte {
	answer, _ := json.Marshal(OrderResponse{Service: u.config.Service, Key: id.Key, Run: run})
	u.mu.Lock()
	defer u.mu.Unlock()
	record := u.orders[id]
	record.done = true
	record.answer = answer
	return answer
}

// orderOutcome answers 200 with the recorded response of an order that ran
// here, or else 404. 404 does not mean that the order does not run: it may run
// here later or on another server.
func (u *Upstream) orderOutcome(w http.ResponseWriter, r *http.Request) {
	u.waitWhileFrozen(r.Context(), u.stopSignal())
	id := OrderID{dcid.Department(r.Header.Get(HeaderDepartment)), dcid.OrderKey(r.PathValue("key"))}
	u.mu.Lock()
	defer u.mu.Unlock()
	record := u.orders[id]
	if record == nil || !record.done {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(HeaderIdempotencyKey, string(id.Key))
	_, _ = w.Write(record.answer)
}
