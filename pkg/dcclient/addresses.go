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
	// askTimeout is for one host, so that a paused one does not use up the
	// time of the others; refreshTimeout is for all of them.
	askTimeout     = 500 * time.Millisecond
	refreshTimeout = 3 * time.Second
)

// addresses is one address answer of the tier.
type addresses struct {
	list  []string
	until time.Time
	// failed holds addresses that refused a connection since the answer.
	failed map[string]bool
}

var errNoAddress = errors.New("no entry gave addresses; check the entries and the credential")

// choose returns the addresses to try for a group, in order. Successive calls
// begin with successive addresses; those that failed come last.
func (c *Client) choose(ctx context.Context, group string, renew bool) ([]string, error) {
	if list := c.remembered(group); list != nil && !renew {
		return list, nil
	}
	// The refresh serves every waiting caller, so it does not end with the
	// context of the first one.
	refresh := context.WithoutCancel(ctx)
	done := c.asking.DoChan(group, func() (any, error) { return nil, c.refresh(refresh, group) })
	select {
	case result := <-done:
		if result.Err != nil {
			return nil, result.Err
		}
		return c.remembered(group), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) remembered(group string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := c.cached[group]
	if answer == nil || !c.Clock.Now().Before(answer.until) {
		return nil
	}
	c.turn++
	list := rotate(answer.list, c.turn)
	slices.SortStableFunc(list, func(a, b string) int { return rank(answer.failed[a]) - rank(answer.failed[b]) })
	return list
}

func rank(failed bool) int {
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

// fail puts an address last until the next address answer.
func (c *Client) fail(group, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer := c.cached[group]; answer != nil {
		answer.failed[address] = true
	}
}

// refresh asks the entries, from a random one on, and then the addresses of
// the previous answer.
func (c *Client) refresh(ctx context.Context, group string) error {
	ctx, cancel := limit(ctx, c.Clock, refreshTimeout)
	defer cancel()
	failed := errNoAddress
	for _, entry := range c.sources(group) {
		answer, err := c.ask(ctx, entry, group)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		c.remember(group, answer)
		return nil
	}
	return failed
}

func (c *Client) sources(group string) []string {
	sources := rotate(c.Entries, uint(rand.Uint32()))
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer := c.cached[group]; answer != nil {
		for _, address := range answer.list {
			if !slices.Contains(sources, address) {
				sources = append(sources, address)
			}
		}
	}
	return sources
}

func (c *Client) ask(ctx context.Context, entry, group string) (answer *callerv1.AddressesResponse, err error) {
	defer func() { err = eris.Wrapf(err, "ask %s for addresses", entry) }()
	ctx, cancel := limit(ctx, c.Clock, askTimeout)
	defer cancel()
	answer = &callerv1.AddressesResponse{}
	sent := c.send(ctx, entry, call{
		method: http.MethodGet,
		path:   "/v1/addresses?service-group=" + url.QueryEscape(group),
		answer: answer,
	}, askTimeout)
	if sent.err != nil {
		return nil, sent.err
	}
	if sent.status != http.StatusOK || len(answer.GetAddresses()) == 0 {
		return nil, errNoAddress
	}
	return answer, nil
}

func (c *Client) remember(group string, answer *callerv1.AddressesResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cached == nil {
		c.cached = make(map[string]*addresses)
	}
	lifetime := time.Duration(answer.GetLifetimeMs()) * time.Millisecond
	c.cached[group] = &addresses{
		list:   answer.GetAddresses(),
		until:  c.Clock.Now().Add(lifetime),
		failed: make(map[string]bool),
	}
}

// limit ends ctx after a duration of the clock. clockwork.WithTimeout is not
// used: with a fake clock, Err of its context blocks until the context ends.
func limit(ctx context.Context, clock clockwork.Clock, duration time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(duration, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// ended reports whether ctx is done without calling Err, which blocks on the
// contexts of clockwork's fake clock.
func ended(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}
