package forward

import (
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
)

// Elapsed is the time since the start of the process clock, which also counts time in which
// the machine was suspended.
type Elapsed = time.Duration

// ConfirmedConfig is the operator's configuration, including the API keys, with the time at which
// it was last confirmed to be current.
type ConfirmedConfig struct {
	Config *Config
	// ConfirmedAt is the latest time at which Config was known to be the newest
	// configuration.
	ConfirmedAt Elapsed
}

// Age returns the time since the configuration was last confirmed.
func (c ConfirmedConfig) Age(now Elapsed) time.Duration { return now - c.ConfirmedAt }

// Authorize returns the customer that owns the API key of a request. It returns an
// Unauthenticated error for an unknown key, and a StoreUnavailable error when the
// configuration was not confirmed for longer than maxAge, because a key may have been
// revoked since. Anonymous routes, and configurations without customers, need no key.
func Authorize(confirmed ConfirmedConfig, r *Route, key string, now Elapsed, maxAge time.Duration) (Customer, *errkind.Error) {
	if r.Anonymous || !confirmed.Config.HasCustomers {
		return Customer{}, nil
	}
	if confirmed.Age(now) > maxAge {
		return Customer{}, errkind.New(errkind.StoreUnavailable, "API keys cannot be checked: the store has not answered recently")
	}
	c, ok := confirmed.Config.Customers[key]
	if !ok {
		return Customer{}, errkind.New(errkind.Unauthenticated, "API key is unknown")
	}
	return c, nil
}

// Priority returns the customer's priority if it has one, and the route's otherwise.
func Priority(r *Route, c Customer) int {
	if c.HasPriority {
		return c.Priority
	}
	return r.Priority
}
