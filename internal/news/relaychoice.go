package news

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// silentBackoff is the time for which a relay is not used after it did not answer in
	// time. Each request to such a relay takes the whole timeout, in which no updates
	// arrive.
	silentBackoff = 5 * time.Second
	// refusedBackoff is the time for which a relay is not used after it refused a request,
	// because it starts, shuts down or has no recent data. A refused request takes no time,
	// and the store is called instead.
	refusedBackoff = time.Second
)

// RelayChoice chooses the relay that a gateway uses: one in its own failure domain if there is one that
// answers. Answers tell where relays are. The updates of the store and the exchange of loads choose
// apart, because a relay that has lost the store still exchanges loads.
type RelayChoice struct {
	// domain is the failure domain of this gateway. Traffic within it is free of charge.
	domain string
	clock  func() Elapsed

	mu     sync.Mutex
	relays []relayState
}

// relayState is the address of a relay and what is known about it.
type relayState struct {
	address      string
	backoffUntil Elapsed // the relay is not used before
	// domain is the relay's failure domain; it is valid if domainKnown is set.
	domain      string
	domainKnown bool
}

// NewRelayChoice returns a choice of relays. The order in which they are tried depends on instance, so
// that gateways spread their requests over the relays.
func NewRelayChoice(instance, domain string, relays []string, clock func() Elapsed) *RelayChoice {
	c := &RelayChoice{domain: domain, clock: clock}
	ordered := slices.Clone(relays)
	slices.SortFunc(ordered, func(a, b string) int {
		if xxhash.Sum64String(instance+"/"+a) < xxhash.Sum64String(instance+"/"+b) {
			return -1
		}
		return 1
	})
	for _, address := range ordered {
		c.relays = append(c.relays, relayState{address: address})
	}
	return c
}

// address returns the address of the n-th relay in turn.
func (c *RelayChoice) address(n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relays[n%len(c.relays)].address
}

// Current returns the address of the relay to use now, or "" if none may be used. It prefers relays in
// the own failure domain, then those whose failure domain is not known yet.
func (c *RelayChoice) Current() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	best, distance := "", noRelay
	for _, r := range c.relays {
		if d := r.distance(c.domain); now >= r.backoffUntil && d < distance {
			best, distance = r.address, d
		}
	}
	return best
}

// Next returns the address of the relay that may be used first, "" without relays.
func (c *RelayChoice) Next() string {
	if address := c.Current(); address != "" {
		return address
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	best, until := "", Elapsed(0)
	for _, r := range c.relays {
		if best == "" || r.backoffUntil < until {
			best, until = r.address, r.backoffUntil
		}
	}
	return best
}

// The distances of relays from a failure domain, most preferred first.
const (
	sameDomain = iota
	unknownDomain
	otherDomain
	noRelay
)

func (r *relayState) distance(domain string) int {
	switch {
	case !r.domainKnown:
		return unknownDomain
	case r.domain == domain:
		return sameDomain
	}
	return otherDomain
}

// SetDomain records the failure domain of a relay.
func (c *RelayChoice) SetDomain(address, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.relays {
		if r := &c.relays[i]; r.address == address {
			r.domain, r.domainKnown = domain, true
		}
	}
}

// BackOff excludes a relay from use for a time that depends on how its last request failed. It returns
// that time, and whether the relay could be used before.
func (c *RelayChoice) BackOff(address string, err error) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, wasUsed := c.clock(), false
	backoff := refusedBackoff
	if isTimeout(err) {
		backoff = silentBackoff
	}
	for i := range c.relays {
		if r := &c.relays[i]; r.address == address {
			wasUsed = now >= r.backoffUntil
			r.backoffUntil = max(r.backoffUntil, now+backoff)
		}
	}
	return backoff, wasUsed
}

// isTimeout reports whether a relay did not answer in time, as opposed to refusing.
func isTimeout(err error) bool { return errors.Is(err, context.DeadlineExceeded) }
