package dcstandin

import (
	"bytes"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Faults holds the fault switches of an upstream server. The zero value is a
// server without faults.
type Faults struct {
	// Draining refuses all new requests before they start.
	Draining bool
	// Shed is the fraction of requests that are refused before they start, 0 to
	// 1.
	Shed float64
	// SlowFactor multiplies every service time; 0 means 1.
	SlowFactor float64
	// ColdFactor multiplies service times after a start. It falls linearly to 1
	// over ColdFor.
	ColdFactor float64
	ColdFor    time.Duration
	// Frozen makes the server behave like a paused process: it accepts
	// connections and answers nothing. Orders that it received meanwhile run
	// when Frozen is switched off.
	Frozen bool
	// LyingStatus makes the status endpoint report a serving and idle server
	// whatever its state, also while it is frozen.
	LyingStatus bool
	// CrashBody is the request body that crashes the server when it starts to
	// run.
	CrashBody []byte
	// RestartAfter is the time that a crashed server stays down; 0 means until
	// Restart.
	RestartAfter time.Duration

	// Rate is the fraction of responses that the switches below affect; 0 means
	// all.
	Rate float64
	// WrongLabel is the label header that responses repeat with a wrong value,
	// for example Index-Version.
	WrongLabel string
	// Malformed sends bytes that are not HTTP instead of a response.
	Malformed bool
	// Duplicate sends each response twice on the connection.
	Duplicate bool
	// LateBy delays responses without regard to deadline and cancellation.
	LateBy time.Duration
}

// answerFaults draws whether the switches below Rate affect a response, and
// returns the fault switches, or none of them.
func (u *Upstream) answerFaults() Faults {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.Rate > 0 && u.random.Float64() >= u.faults.Rate {
		return Faults{}
	}
	return u.faults
}

// SetFaults changes the fault switches. A cold start begins when ColdFor
// changes, and at every restart.
func (u *Upstream) SetFaults(change func(*Faults)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	before := u.faults
	change(&u.faults)
	if u.faults.ColdFor != before.ColdFor {
		u.started = u.clock.Now()
	}
	if u.faults.Frozen == before.Frozen {
		return
	}
	if before.Frozen {
		close(u.unfrozen)
		return
	}
	u.unfrozen = make(chan struct{})
}

// Faults returns the fault switches.
func (u *Upstream) Faults() Faults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

// serviceTime draws the time that one request runs.
func (u *Upstream) serviceTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	factor := 1.0
	if u.random.Float64() < u.config.StragglerProbability {
		factor = u.config.StragglerFactor
	}
	if u.faults.SlowFactor > 0 {
		factor *= u.faults.SlowFactor
	}
	if cold := u.coldFraction(); cold > 0 {
		factor *= 1 + cold*(u.faults.ColdFactor-1)
	}
	return time.Duration(factor * float64(u.config.BaseTime))
}

// coldFraction returns the part of the cold start that is left. It falls
// linearly from 1 to 0 over ColdFor. The caller holds mu.
func (u *Upstream) coldFraction() float64 {
	if u.faults.ColdFor <= 0 || u.faults.ColdFactor <= 1 {
		return 0
	}
	left := u.faults.ColdFor - u.clock.Since(u.started)
	return max(0, float64(left)/float64(u.faults.ColdFor))
}

// triggersCrash reports whether a request with this body crashes the server.
func (u *Upstream) triggersCrash(body []byte) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.faults.CrashBody) > 0 && bytes.Equal(u.faults.CrashBody, body)
}

// crash takes the server down without a response to any running request. It
// schedules the restart before clients can see the crash.
func (u *Upstream) crash() {
	u.powerMu.Lock()
	defer u.powerMu.Unlock()
	if !u.takeDown() {
		return
	}
	u.updateStats(func(s *Stats) { s.Crashes++ })
	if restart := u.Faults().RestartAfter; restart > 0 {
		u.clock.AfterFunc(restart, u.Restart)
	}
	u.notifyDown()
}

// Kill takes the server down like a crash, until Restart is called. It does not
// count as a crash.
func (u *Upstream) Kill() {
	u.powerMu.Lock()
	defer u.powerMu.Unlock()
	if u.takeDown() {
		u.notifyDown()
	}
}

// Restart brings a server that is down back, with a cold start. Recorded orders
// are kept. It does nothing if the server is up or closed.
func (u *Upstream) Restart() {
	u.powerMu.Lock()
	defer u.powerMu.Unlock()
	u.mu.Lock()
	if !u.down || u.closed {
		u.mu.Unlock()
		return
	}
	u.down = false
	u.stopped = make(chan struct{})
	u.started = u.clock.Now()
	up := u.onUp
	u.mu.Unlock()
	if up != nil {
		up()
	}
}

// takeDown marks the server as down, ends running requests and reports whether
// the server was up.
func (u *Upstream) takeDown() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return false
	}
	u.down = true
	close(u.stopped)
	return true
}

// notifyDown calls onDown, if any, which closes the listener.
func (u *Upstream) notifyDown() {
	u.mu.Lock()
	down := u.onDown
	u.mu.Unlock()
	if down != nil {
		down()
	}
}

// attachListener sets the address of the server, and the functions that close
// its listener when it goes down and reopen it at a restart.
func (u *Upstream) attachListener(address string, down, up func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.config.Address = dcid.ServerAddr(address)
	u.onDown, u.onUp = down, up
}
