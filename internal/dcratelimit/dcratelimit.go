// Package dcratelimit divides the rate limit that a server names among the
// hosts, and decides for one host whether it may send another request. It opens
// no sockets and reads no clock.
package dcratelimit

import (
	"math"
	"time"
)

const (
	// Window is the span in which a server counts the requests that it gets. The
	// limit is kept while all hosts together send at most overrun times the limit
	// of a window plus windowAllowance requests.
	Window          = 4 * time.Second
	overrun         = 1.5
	windowAllowance = 5.0
	// burstTime is how long a host may save up its share of a limit.
	burstTime = 250 * time.Millisecond
	// minRate is the rate, in requests a second, at which all hosts together send
	// to a server that names a lower limit. An answer shows whether the limit still
	// holds; without requests there is none.
	minRate = 0.5
	// maxRate caps limits, in requests a second, so that the arithmetic stays finite.
	maxRate = 1e6
	// askAllowance is the part of windowAllowance that is left to hosts without a
	// share, in requests a window.
	askAllowance = 2
	// roundingMargin keeps a host that may send a whole number of requests within
	// a window below that number plus one.
	roundingMargin = 0.99
)

// Rate is a number of requests a second.
type Rate float64

// Place is the place of a host among those that send to a server.
type Place struct {
	// Hosts is the number of hosts, at least 1.
	Hosts int
	// Rank orders the hosts of a server, from 0. It matters only if there are more
	// hosts than Sharers returns.
	Rank int
}

// windowRequests returns the number of requests that all hosts together may send
// in a window.
func windowRequests(limit Rate) float64 {
	return overrun*float64(limit)*Window.Seconds() + windowAllowance
}

// Sharers returns the largest number of hosts among which a limit is divided.
// With more of them, each host could send one request in the same window, and
// the limit would be exceeded.
func Sharers(limit Rate) int {
	return int(windowRequests(min(limit, maxRate)))
}

// HostRate returns the share of a host in a limit. The shares of all hosts add up
// to at most the limit, or to minRate if that is more. A host whose share is less
// than one request in a window sends its single requests further apart. If there
// are more hosts than Sharers allows, those with the lowest ranks have the
// shares, and the others only ask from time to time whether the limit still
// holds.
func HostRate(limit Rate, place Place) Rate {
	limit = min(limit, maxRate)
	hosts := float64(max(place.Hosts, 1))
	total := max(float64(limit), minRate)
	sharers := float64(members(limit, place.Hosts))
	if asks(limit, place) {
		// One request less than askAllowance, since the first and the last of evenly
		// spaced requests may fall into the same window.
		return Rate((askAllowance - 1) / Window.Seconds() / (hosts - sharers))
	}
	// perWindow is how many requests each host may send within any window.
	perWindow := max(math.Floor(windowRequests(limit)/sharers), 1)
	return Rate(min(total/sharers, roundingMargin*perWindow/Window.Seconds()))
}

// members returns the number of hosts that have a share of a limit.
func members(limit Rate, hosts int) int {
	if sharers := Sharers(limit); hosts > sharers {
		return max(sharers-askAllowance, 1)
	}
	return max(hosts, 1)
}

// asks reports whether a host has no share of a limit.
func asks(limit Rate, place Place) bool {
	return place.Hosts > Sharers(limit) && place.Rank >= members(limit, place.Hosts)
}

// Share is this host's share of the limit of one server, as a token bucket. The
// zero value has no limit. It is not safe for concurrent use.
type Share struct {
	named bool
	limit Rate
	rate  Rate
	// tokens is the number of requests that may be sent, as of updatedAt.
	tokens    float64
	updatedAt time.Time
	// asking is set if this host has no share and only asks from time to time.
	asking bool
	// since is the time of the first answer that named a limit, and namedAt that
	// of the last one.
	since   time.Time
	namedAt time.Time
	// PassedOver counts the requests that went elsewhere, or waited, since the
	// limit was named.
	PassedOver int
}

// Limited reports whether the server names a limit.
func (s *Share) Limited() bool { return s.named }

// Limit returns the limit that the server names for all hosts.
func (s *Share) Limit() Rate { return s.limit }

// Rate returns this host's share of the limit.
func (s *Share) Rate() Rate { return s.rate }

// Since returns the time of the first answer that named a limit.
func (s *Share) Since() time.Time { return s.since }

// Name sets the limit that an answer named. random, from 0 to 1, spreads the
// first requests of the hosts, which learn of a limit at about the same time.
func (s *Share) Name(limit Rate, place Place, random float64, now time.Time) {
	s.refill(now)
	if !s.named {
		*s = Share{named: true, tokens: random, since: now}
		if place.Hosts > Sharers(limit) {
			// Spreads the first requests evenly.
			s.tokens = 1 - float64(place.Rank+1)/float64(place.Hosts)
		}
	}
	s.limit, s.rate, s.asking = limit, HostRate(limit, place), asks(limit, place)
	s.tokens = min(s.tokens, s.capacity())
	s.updatedAt, s.namedAt = now, now
}

// End ends the limit after an answer that named none. An answer to a request that
// was sent before the last answer that named one says nothing newer.
func (s *Share) End(sent time.Time) (ended bool) {
	if !s.named || sent.Before(s.namedAt) {
		return false
	}
	*s = Share{}
	return true
}

// Available reports whether a request may be sent. An extra send, which is a
// hedge or a retry, leaves a token for the first send of another request unless
// the bucket holds only one.
func (s *Share) Available(extra bool, now time.Time) bool {
	if !s.named {
		return true
	}
	s.refill(now)
	needed := 1.0
	if extra {
		needed = min(needed+1, s.capacity())
	}
	return s.tokens >= needed
}

// Take counts a request that is sent.
func (s *Share) Take() {
	if s.named {
		s.tokens--
	}
}

// Tokens returns the number of requests that may be sent now.
func (s *Share) Tokens(now time.Time) int {
	s.refill(now)
	return int(s.tokens)
}

// Wait returns how long until a request may be sent.
func (s *Share) Wait(now time.Time) time.Duration {
	if s.Available(false, now) {
		return 0
	}
	return Duration(1-s.tokens, s.rate)
}

// Duration returns the time in which a rate allows a number of requests, at most
// maxDuration.
func Duration(requests float64, rate Rate) time.Duration {
	if rate <= 0 {
		return maxDuration
	}
	return time.Duration(min(requests/float64(rate), maxDuration.Seconds()) * float64(time.Second))
}

// maxDuration is the longest time that Duration returns.
const maxDuration = time.Hour

func (s *Share) capacity() float64 { return max(float64(s.rate)*burstTime.Seconds(), 1) }

// refill adds the tokens since the last call. A time of day that was set back
// adds none.
func (s *Share) refill(now time.Time) {
	if !s.named {
		return
	}
	if elapsed := now.Sub(s.updatedAt); elapsed > 0 {
		if s.asking {
			// Otherwise all hosts without a share could ask at once after a pause.
			elapsed = min(elapsed, Window)
		}
		s.tokens = min(s.tokens+float64(s.rate)*elapsed.Seconds(), s.capacity())
		s.updatedAt = now
	}
}
