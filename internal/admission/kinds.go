package admission

import (
	"math"
	"time"

	"github.com/borageflow/borageflow/internal/limits"
)

const (
	// workerWaitShare is the part of the target that may pass at the worker before it begins with a
	// request. The rest is for the work itself, the way and the wait at the gateway.
	workerWaitShare = 0.5
	// stepDown is the useful wait of requests relative to that of the next more urgent ones. It leaves
	// room at the workers for those that arrive later.
	stepDown = 0.7
	// kindLife is how long a kind counts as asked for after its last request.
	kindLife = 5 * time.Second
	// maxKinds bounds the kinds that are remembered. More routes to one service share the rules of the
	// others.
	maxKinds = 256
	// returnShare is the part of the longest time limit of its kind below which a request counts as one
	// that returns. Clocks and ways take less than the rest.
	returnShare = 0.97
)

// kinds holds what the callers of a service need.
type kinds struct {
	byName map[string]*kind
	// useful is the useful wait by class, as of computedAt.
	useful     [limits.MaxClass + 1]time.Duration
	computedAt time.Time
}

type kind struct {
	class  int
	target time.Duration
	// longest is the longest time limit that callers stated.
	longest time.Duration
	lastAt  time.Time
}

func newKinds() kinds { return kinds{byName: map[string]*kind{}} }

// class returns the class of a request in the fair queue. A repeat yields to the first answers of its kind.
func (*kinds) class(r *Request) int {
	class := limits.MaxClass - min(max(r.Priority, 0), limits.MaxClass-1)
	if r.IsRepeat {
		class--
	}
	return class
}

// observe records a request and returns the time since which its caller waits. A caller that was refused
// and returns has less time left than the others.
func (k *kinds) observe(now time.Time, r *Request) time.Time {
	if r.Target <= 0 || r.Target > r.TimeLimit {
		r.Target = r.TimeLimit
	}
	e := k.byName[r.Kind]
	if e == nil {
		if len(k.byName) >= maxKinds {
			return r.Arrived
		}
		e = &kind{}
		k.byName[r.Kind] = e
	}
	changed := e.target != r.Target || now.Sub(e.lastAt) > kindLife
	e.class, e.target, e.lastAt = k.class(r), r.Target, now
	if !r.IsRepeat {
		e.longest = max(e.longest, r.TimeLimit)
	}
	if changed || now.Sub(k.computedAt) > kindLife {
		k.compute(now)
	}
	if float64(r.TimeLimit) < returnShare*float64(e.longest) {
		return r.Arrived.Add(r.TimeLimit - e.longest)
	}
	return r.Arrived
}

// compute sets the useful waits. Requests wait at the workers no longer than those that are more urgent
// can use, and each class less than the one above it.
func (k *kinds) compute(now time.Time) {
	k.computedAt = now
	least, factor := time.Duration(math.MaxInt64), workerWaitShare
	for class := limits.MaxClass; class >= 0; class-- {
		asked := false
		for _, e := range k.byName {
			if now.Sub(e.lastAt) <= kindLife && e.class == class {
				least, asked = min(least, e.target), true
			}
		}
		if class == lateClass {
			asked = true
		}
		k.useful[class] = time.Duration(factor * float64(least))
		if asked {
			factor *= stepDown
		}
	}
}

// usefulWait returns the wait at a worker up to which requests of a class are sent.
func (k *kinds) usefulWait(class int) time.Duration { return k.useful[class] }
