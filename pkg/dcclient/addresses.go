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
	// lookupTimeout limits an address request to one host, so that a host that
	// does not respond, such as a paused one, leaves time for the others.
	lookupTimeout = 500 * time.Millisecond
	// refreshTimeout limits the address requests to all hosts together.
	refreshTimeout = 3 * time.Second
)

// addressList holds the addresses that the tier returned for a service group.
type addressList struct {
	list    []string
	expires time.Time
	// failed holds the addresses to which a request could not be sent since
	// the list was fetched.
	failed map[string]bool
}

var errNoAddresses = errors.New("no entry returned addresses; check the entries and the credential")

// addressesFor returns the addresses to try for a service group, in order. It
// fetches a new list when the cached one has expired or forceRefresh is set. To
// spread the load, each call begins with the next address of the list.
// Addresses that failed come last.
func (c *Client) addressesFor(ctx context.Context, group string, forceRefresh bool) ([]string, error) {
	if list := c.cachedAddresses(group); list != nil && !forceRefresh {
		return list, nil
	}
	// One refresh serves all callers that wait for it, so it must not end with
	// the context of the caller that started it.
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

// cachedAddresses returns the cached addresses of a service group in the order
// in which to try them, or nil when there are none or they have expired.
func (c *Client) cachedAddresses(group string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.cache[group]
	if cached == nil || !c.Clock.Now().Before(cached.expires) {
		return nil
	}
	c.rotation++
	list := rotate(cached.list, c.rotation)
	slices.SortStableFunc(list, func(a, b string) int { return failureRank(cached.failed[a]) - failureRank(cached.failed[b]) })
	return list
}

// failureRank is the sort key that puts failed addresses last.
func failureRank(failed bool) int {
	if failed {
		return 1
	}
	return 0
}

// rotate returns a copy of list that begins with the element at offset modulo
// the length.
func rotate(list []string, offset uint) []string {
	if len(list) == 0 {
		return nil
	}
	start := int(offset % uint(len(list)))
	return slices.Concat(list[start:], list[:start])
}

// markFailed makes an address the last choice until the list is fetched again.
func (c *Client) markFailed(group, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached := c.cache[group]; cached != nil {
		cached.failed[address] = true
	}
}

// refresh fetches and caches the addresses of a service group. It asks one
// source after the other until one returns addresses.
func (c *Client) refresh(ctx context.Context, group string) error {
	ctx, cancel := withTimeout(ctx, c.Clock, refreshTimeout)
	defer cancel()
	joined := errNoAddresses
	for _, entry := range c.sources(group) {
		answer, err := c.fetchAddresses(ctx, entry, group)
		if err != nil {
			joined = errors.Join(joined, err)
			continue
		}
		c.cacheAddresses(group, answer)
		return nil
	}
	return joined
}

// sources returns the addresses to ask for a list: the entries, beginning with
// a random one, and then the addresses of the previous list.
func (c *Client) sources(group string) []string {
	sources := rotate(c.Entries, uint(rand.Uint32()))
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached := c.cache[group]; cached != nil {
		for _, address := range cached.list {
			if !slices.Contains(sources, address) {
				sources = append(sources, address)
			}
		}
	}
	return sources
}

// fetchAddresses requests the addresses of a service group from one host. It
// returns an error when the response lists none.
func (c *Client) fetchAddresses(ctx context.Context, entry, group string) (answer *callerv1.AddressesResponse, err error) {
	defer func() { err = eris.Wrapf(err, "ask %s for addresses", entry) }()
	ctx, cancel := withTimeout(ctx, c.Clock, lookupTimeout)
	defer cancel()
	answer = &callerv1.AddressesResponse{}
	result := c.send(ctx, entry, call{
		method: http.MethodGet,
		path:   "/v1/addresses?service-group=" + url.QueryEscape(group),
		answer: answer,
	}, lookupTimeout)
	if result.err != nil {
		return nil, result.err
	}
	if result.status != http.StatusOK || len(answer.GetAddresses()) == 0 {
		return nil, errNoAddresses
	}
	return answer, nil
}

// cacheAddresses replaces the cached list of a service group. The list expires
// after the lifetime in the response.
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

// withTimeout returns a context that ends after a duration of the clock, and a
// function that releases it. clockwork.WithTimeout is not used: with a fake
// clock, the Err method of its context blocks until the context ends.
func withTimeout(ctx context.Context, clock clockwork.Clock, duration time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(duration, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// isDone reports whether ctx has ended. It does not call Err, which blocks on
// the contexts of clockwork's fake clock until they end.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}
