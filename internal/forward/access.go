package forward

import (
	"time"

	"github.com/borageflow/borageflow/internal/errkind"
)

// Elapsed is the time since the process's clock began, counting suspended time.
type Elapsed = time.Duration

// KeyView is what a process knows of the operator's configuration and since when.
type KeyView struct {
	Config *Config
	// ConfirmedAt is the latest time at which the configuration is known to have
	// been the newest one.
	ConfirmedAt Elapsed
}

// Age is how old the knowledge is.
func (v KeyView) Age(now Elapsed) time.Duration { return now - v.ConfirmedAt }

// Authorize finds the customer of a request's key. A process that has not heard
// from the store for maxAge refuses keyed requests, because a key may have been
// taken away in the meantime.
func Authorize(v KeyView, r *Route, key string, now Elapsed, maxAge time.Duration) (Customer, *errkind.Error) {
	if r.Anonymous || !v.Config.HasCustomers {
		return Customer{}, nil
	}
	if v.Age(now) > maxAge {
		return Customer{}, errkind.New(errkind.StoreUnavailable, "API keys cannot be checked: the store has not answered recently")
	}
	c, ok := v.Config.Customers[key]
	if !ok {
		return Customer{}, errkind.New(errkind.Unauthenticated, "API key is unknown")
	}
	return c, nil
}

// Priority returns the rank of a request: the customer's, or else the route's.
func Priority(r *Route, c Customer) int {
	if c.HasPriority {
		return c.Priority
	}
	return r.Priority
}
