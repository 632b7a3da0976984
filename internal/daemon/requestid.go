package daemon

import (
	"fmt"
	"sync/atomic"
)

// requestIDs generates request identifiers that are unique across all instances. They
// consist of the instance, its incarnation and a counter.
type requestIDs struct {
	prefix  string
	counter atomic.Uint64
}

func newRequestIDs(instance string, incarnation int) *requestIDs {
	return &requestIDs{prefix: fmt.Sprintf("%s-%x", instance, incarnation)}
}

func (r *requestIDs) next() string { return fmt.Sprintf("%s-%x", r.prefix, r.counter.Add(1)) }
