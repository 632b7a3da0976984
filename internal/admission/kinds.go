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
	// reserved is the part of the useful wait of the most urgent requests that late ones leave free for
	// those that arrive later. The others leave free less, the more urgent they are.
	reserved = 0.4
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
	byName map[kindKey]*kind
	// classes holds the class of each order that is asked for.
	classes [orders]int
	// useful is the useful wait by class, as of computedAt.
	useful     [limits.MaxClass + 1]time.Duration
	computedAt time.Time
}

// kindKey is a kind with the order of its requests.
type kindKey struct {
	name  string
	order int
}

type kind struct {
	target time.Duration
	// longest is the longest time limit that callers stated.
	longest time.Duration
	lastAt  time.Time
}

func newKinds() kinds { return kinds{byName: map[kindKey]*kind{}} }

// priorities is the number of priorities, and orders that of the pairs of a priority and that of a kind.
const (
	priorities = limits.MaxClass + 1
	orders     = priorities * priorities
)

// order returns the position of a request among all: by its priority, then by that of its kind.
func order(r *Request) int {
	bound := func(p int) int { return min(max(p, 0), priorities-1) }
	return bound(r.Priority)*priorities + bound(r.KindPriority)
}

// class returns the class of a request in the fair queue. A repeat yields to the first answers of its kind.
func (k *kinds) class(r *Request) int {
	class := k.classes[order(r)]
	if r.IsRepeat && class > lateClass+1 {
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
	key := kindKey{r.Kind, order(r)}
	e := k.byName[key]
	if e == nil {
		if len(k.byName) >= maxKinds {
			return r.Arrived
		}
		e = &kind{}
		k.byName[key] = e
	}
	if !r.IsRepeat {
		e.longest = max(e.longest, r.TimeLimit)
	}
	target := r.Target
	if returns := float64(r.TimeLimit) < returnShare*float64(e.longest); returns && e.target > 0 {
		target = e.target // a caller with little time left says nothing of what the others need
	}
	changed := e.target != target || now.Sub(e.lastAt) > kindLife
	e.target, e.lastAt = target, now
	if changed || now.Sub(k.computedAt) > kindLife {
		k.compute(now)
	}
	if float64(r.TimeLimit) < returnShare*float64(e.longest) {
		return r.Arrived.Add(r.TimeLimit - e.longest)
	}
	return r.Arrived
}

// compute sets the classes and the useful waits. The orders that are asked for get the classes from the highest
// one down. Requests wait at the workers no longer than those that are more urgent can use, and each class less
// than the one above it.
func (k *kinds) compute(now time.Time) {
	k.computedAt = now
	var targets [orders]time.Duration
	for key, e := range k.byName {
		if now.Sub(e.lastAt) <= kindLife && (targets[key.order] == 0 || e.target < targets[key.order]) {
			targets[key.order] = e.target
		}
	}
	asked := 0
	for _, target := range targets {
		if target > 0 {
			asked++
		}
	}
	least, class := time.Duration(math.MaxInt64), limits.MaxClass
	for i, target := range targets {
		k.classes[i] = class
		if target == 0 {
			continue
		}
		least = min(least, target)
		rank := float64(limits.MaxClass - class)
		k.useful[class] = time.Duration(workerWaitShare * (1 - reserved*rank/float64(asked)) * float64(least))
		class = max(class-1, lateClass+1)
	}
	for ; class >= lateClass; class-- {
		k.useful[class] = time.Duration(workerWaitShare * (1 - reserved) * float64(least))
	}
}

// usefulWait returns the wait at a worker up to which requests of a class are sent.
func (k *kinds) usefulWait(class int) time.Duration { return k.useful[class] }
