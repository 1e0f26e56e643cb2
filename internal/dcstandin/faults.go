package dcstandin

import (
	"bytes"
	"time"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// Faults are the fault switches of an upstream server. The zero value is a
// healthy server.
type Faults struct {
	// Draining refuses new work before it starts.
	Draining bool
	// Shed is the fraction of requests refused before start, 0 to 1.
	Shed float64
	// SlowFactor multiplies every service time; 0 means 1.
	SlowFactor float64
	// ColdFactor multiplies service times after a start and falls linearly to 1
	// over ColdFor.
	ColdFactor float64
	ColdFor    time.Duration
	// Frozen stops the server like a paused process: it accepts connections
	// and answers nothing. Orders received meanwhile run when it ends.
	Frozen bool
	// LyingStatus reports serving and idle whatever the state.
	LyingStatus bool
	// CrashBody is the request body that crashes the server when it is run.
	CrashBody []byte
	// RestartAfter is the time that a crashed server stays down; 0 means until
	// Restart.
	RestartAfter time.Duration

	// Rate is the fraction of answers that the switches below affect; 0 means
	// all.
	Rate float64
	// WrongLabel is the label header that answers repeat wrongly, for example
	// Index-Version.
	WrongLabel string
	// Malformed answers bytes that are not HTTP.
	Malformed bool
	// Duplicate sends the answer twice on the connection.
	Duplicate bool
	// LateBy delays answers without regard to deadline and cancellation.
	LateBy time.Duration
}

// answerFaults returns the switches that affect one answer.
func (u *Upstream) answerFaults() Faults {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.Rate > 0 && u.random.Float64() >= u.faults.Rate {
		return Faults{}
	}
	return u.faults
}

// SetFaults changes the fault switches. A cold start begins when ColdFor is
// set, and again at every restart.
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

// coldFraction falls from 1 at the start to 0.
func (u *Upstream) coldFraction() float64 {
	if u.faults.ColdFor <= 0 || u.faults.ColdFactor <= 1 {
		return 0
	}
	left := u.faults.ColdFor - u.clock.Since(u.started)
	return max(0, float64(left)/float64(u.faults.ColdFor))
}

// triggersCrash reports whether running the body crashes the server.
func (u *Upstream) triggersCrash(body []byte) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.faults.CrashBody) > 0 && bytes.Equal(u.faults.CrashBody, body)
}

// crash takes the server down without an answer to any running request. The
// restart is scheduled before clients can see the crash.
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

// Kill takes the server down as a crash does, until Restart. It does not count
// as a crash.
func (u *Upstream) Kill() {
	u.powerMu.Lock()
	defer u.powerMu.Unlock()
	if u.takeDown() {
		u.notifyDown()
	}
}

// Restart brings a server that is down back, cold. Recorded orders are kept.
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

// takeDown ends running requests and reports whether the server was up.
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

func (u *Upstream) notifyDown() {
	u.mu.Lock()
	down := u.onDown
	u.mu.Unlock()
	if down != nil {
		down()
	}
}

// attachListener names the server by its address and sets what a crash and a restart
// do to its listener.
func (u *Upstream) attachListener(address string, down, up func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.config.Address = dcid.ServerAddr(address)
	u.onDown, u.onUp = down, up
}
