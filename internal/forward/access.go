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

// AgeBounds are the ages up to which a configuration decides on requests.
type AgeBounds struct {
	// Accept is the age up to which the configuration's API keys are accepted. An older
	// configuration may hold keys that were revoked since.
	Accept time.Duration
	// Refuse is the age up to which a request is refused for good. A configuration that has replaced
	// an older one for longer may hold the route or the key.
	Refuse time.Duration
}

// Authorize returns the customer that owns the API key of a request. It returns an
// Unauthenticated error for an unknown key, and a StoreUnavailable error when the
// configuration is too old to tell. Anonymous routes, and configurations without customers, need
// no key.
func Authorize(confirmed ConfirmedConfig, r *Route, key string, now Elapsed, bounds AgeBounds) (Customer, *errkind.Error) {
	if r.Anonymous || !confirmed.Config.HasCustomers {
		return Customer{}, nil
	}
	age := confirmed.Age(now)
	c, ok := confirmed.Config.Customers[key]
	switch {
	case age > bounds.Accept, !ok && age > bounds.Refuse:
		return Customer{}, errkind.New(errkind.StoreUnavailable, "API keys cannot be checked: the store has not answered recently")
	case !ok:
		return Customer{}, errkind.New(errkind.Unauthenticated, "API key is unknown")
	}
	return c, nil
}

// RefuseUnknownRoute returns the error for a request that no route matches: UnknownRoute, or
// StoreUnavailable when the configuration is too old to tell.
func RefuseUnknownRoute(confirmed ConfirmedConfig, now Elapsed, bounds AgeBounds) *errkind.Error {
	if confirmed.Age(now) > bounds.Refuse {
		return errkind.New(errkind.StoreUnavailable, "routes may be outdated: the store has not answered recently")
	}
	return errkind.New(errkind.UnknownRoute, "no route matches this host and path")
}

// Priority returns the customer's priority if it has one, and the route's otherwise.
func Priority(r *Route, c Customer) int {
	if c.HasPriority {
		return c.Priority
	}
	return r.Priority
}
