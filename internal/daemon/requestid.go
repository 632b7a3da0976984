package daemon

import (
	"fmt"
	"sync/atomic"
)

// requestIDs gives identifiers that are unique in the fleet: the instance, its
// incarnation and a counter.
type requestIDs struct {
	prefix string
	count  atomic.Uint64
}

func newRequestIDs(instance string, incarnation int) *requestIDs {
	return &requestIDs{prefix: fmt.Sprintf("%s-%x", instance, incarnation)}
}

func (r *requestIDs) next() string { return fmt.Sprintf("%s-%x", r.prefix, r.count.Add(1)) }
