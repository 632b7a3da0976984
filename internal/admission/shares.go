package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// usualTime is the time over which the usual use of a customer is averaged. A burst lasts seconds.
	usualTime = time.Minute
	// learnTime is the time after which the usual use counts in full. Before, customers have equal
	// shares in part.
	learnTime = 10 * time.Second
	// learnWork is the work, in requests, from which the usual use counts more than an equal share. The
	// rate of a few requests says little.
	learnWork = 10
	// minOfEqual is the least share of a customer, relative to an equal one. It serves a customer that
	// has just begun to ask.
	minOfEqual = 0.25
	// refreshTime is how long computed weights are used.
	refreshTime = 200 * time.Millisecond
	// maxCustomers bounds the customers that are remembered; beyond, idle ones are forgotten.
	maxCustomers = 4096
)

// shares holds how much work each customer usually asks for. Under overload, customers get room in
// proportion to it, so that one that asks for many times its usual waits for its own requests.
type shares struct {
	firstAt, computedAt time.Time
	byName              map[string]*customerUse
	// all holds the customers in the order in which they came, so that sums do not depend on the order of
	// a map.
	all []*customerUse
}

// customerUse is the decayed work of a customer, in requests, as of at.
type customerUse struct {
	name   string
	work   float64
	at     time.Time
	weight float64
}

func newShares() shares { return shares{byName: map[string]*customerUse{}} }

func (u *customerUse) decay(now time.Time) {
	if age := now.Sub(u.at); age > 0 {
		u.work *= math.Exp(-float64(age) / float64(usualTime))
		u.at = now
	}
}

// add records a request of a customer.
func (s *shares) add(now time.Time, customer string, work float64) {
	if s.firstAt.IsZero() {
		s.firstAt = now
	}
	u := s.byName[customer]
	if u == nil {
		u = &customerUse{name: customer, at: now}
		s.byName[customer] = u
		s.all = append(s.all, u)
	}
	u.decay(now)
	u.work += work
	if now.Sub(s.computedAt) >= refreshTime || u.weight == 0 {
		s.compute(now)
	}
}

// compute sets the weights of all customers.
func (s *shares) compute(now time.Time) {
	s.computedAt = now
	if len(s.all) > maxCustomers {
		s.forgetIdle(now)
	}
	total := 0.0
	for _, u := range s.all {
		u.decay(now)
		total += u.work
	}
	since := now.Sub(s.firstAt)
	// The decayed sum over a time t is that of a mean over usualTime * (1 - exp(-t/usualTime)).
	seconds := math.Max(usualTime.Seconds()*-math.Expm1(-float64(since)/float64(usualTime)), 1)
	equal := total / float64(max(len(s.all), 1))
	for _, u := range s.all {
		known := math.Min(float64(since)/float64(learnTime), 1) * u.work / (u.work + learnWork)
		use := known*u.work + (1-known)*equal
		u.weight = math.Max(use, minOfEqual*equal) / seconds * workScale
	}
}

// forgetIdle forgets the customers that have asked for little lately.
func (s *shares) forgetIdle(now time.Time) {
	s.all = slices.DeleteFunc(s.all, func(u *customerUse) bool {
		u.decay(now)
		if u.work >= minRemembered {
			return false
		}
		delete(s.byName, u.name)
		return true
	})
}

// minRemembered is the decayed work below which an idle customer is forgotten if there are too many.
const minRemembered = 0.1

// weight returns the work a second, in units of limits.FairQueue, that a customer usually asks for.
func (s *shares) weight(customer string) float64 {
	if u := s.byName[customer]; u != nil {
		return u.weight
	}
	return 1
}
