package dcclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	callerv1 "github.com/dandelioncart/dandelioncart/internal/gen/dandelioncart/caller/v1"
)

const (
	// lookupTimeout is for one host, so that a paused one does not use up the
	// time of the others; refreshTimeout is for all of them.
	lookupTimeout  = 500 * time.Millisecond
	refreshTimeout = 3 * time.Second
)

// addressList is one address answer of the tier.
type addressList struct {
	list    []string
	expires time.Time
	// failed holds addresses that refused a connection since the answer.
	failed map[string]bool
}

var errNoAddresses = errors.New("no entry gave addresses; check the entries and the credential")

// addressesFor returns the addresses to try for a group, in order. Successive calls
// begin with successive addresses; those that failed come last.
func (c *Client) addressesFor(ctx context.Context, group string, renew bool) ([]string, error) {
	if list := c.cachedAddresses(group); list != nil && !renew {
		return list, nil
	}
	// The refresh serves every waiting caller, so it does not end with the
	// context of the first one.
	refresh := context.WithoutCancel(ctx)
	done := c.refreshes.DoChan(group, func() (any, error) { return nil, c.refresh(refresh, group) })
	select {
	case result := <-done:
		if result.Err != nil {
			return nil, result.Err
		}
		return c.cachedAddresses(group), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) cachedAddresses(group string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := c.cache[group]
	if answer == nil || !c.Clock.Now().Before(answer.expires) {
		return nil
	}
	c.rotation++
	list := rotate(answer.list, c.rotation)
	slices.SortStableFunc(list, func(a, b string) int { return failureRank(answer.failed[a]) - failureRank(answer.failed[b]) })
	return list
}

func failureRank(failed bool) int {
	if failed {
		return 1
	}
	return 0
}

func rotate(list []string, by uint) []string {
	if len(list) == 0 {
		return nil
	}
	start := int(by % uint(len(list)))
	return slices.Concat(list[start:], list[:start])
}

// markFailed puts an address last until the next address answer.
func (c *Client) markFailed(group, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer := c.cache[group]; answer != nil {
		answer.failed[address] = true
	}
}

// refresh asks the entries, from a random one on, and then the addresses of
// the previous answer.
func (c *Client) refresh(ctx context.Context, group string) error {
	ctx, cancel := withTimeout(ctx, c.Clock, refreshTimeout)
	defer cancel()
	failed := errNoAddresses
	for _, entry := range c.sources(group) {
		answer, err := c.fetchAddresses(ctx, entry, group)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		c.cacheAddresses(group, answer)
		return nil
	}
	return failed
}

func (c *Client) sources(group string) []string {
	sources := rotate(c.Entries, uint(rand.Uint32()))
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer := c.cache[group]; answer != nil {
		for _, address := range answer.list {
			if !slices.Contains(sources, address) {
				sources = append(sources, address)
			}
		}
	}
	return sources
}

func (c *Client) fetchAddresses(ctx context.Context, entry, group string) (answer *callerv1.AddressesResponse, err error) {
	defer func() { err = eris.Wrapf(err, "ask %s for addresses", entry) }()
	ctx, cancel := withTimeout(ctx, c.Clock, lookupTimeout)
	defer cancel()
	answer = &callerv1.AddressesResponse{}
	sent := c.send(ctx, entry, call{
		method: http.MethodGet,
		path:   "/v1/addresses?service-group=" + url.QueryEscape(group),
		answer: answer,
	}, lookupTimeout)
	if sent.err != nil {
		return nil, sent.err
	}
	if sent.status != http.StatusOK || len(answer.GetAddresses()) == 0 {
		return nil, errNoAddresses
	}
	return answer, nil
}

func (c *Client) cacheAddresses(group string, answer *callerv1.AddressesResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cache == nil {
		c.cache = make(map[string]*addressList)
	}
	lifetime := time.Duration(answer.GetLifetimeMs()) * time.Millisecond
	c.cache[group] = &addressList{
		list:    answer.GetAddresses(),
		expires: c.Clock.Now().Add(lifetime),
		failed:  make(map[string]bool),
	}
}

// withTimeout ends ctx after a duration of the clock. clockwork.WithTimeout is not
// used: with a fake clock, Err of its context blocks until the context ends.
func withTimeout(ctx context.Context, clock clockwork.Clock, duration time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(duration, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// isDone reports whether ctx is done without calling Err, which blocks on the
// contexts of clockwork's fake clock.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}
