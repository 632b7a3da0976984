package gateway

import (
	"context"
	"net"

	"github.com/borageflow/borageflow/internal/netpeek"
)

// callerConnKey is the key of the caller's connection in the context of a request.
type callerConnKey struct{}

// withCallerConn adds the connection of a caller to the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// departure cancels a request whose caller has left. net/http notices a close by a read in the background,
// which needs processor time: an instance that was paused or is busy would first send on what it has
// received from callers that are gone.
type departure struct {
	conn   net.Conn // nil if it is not known
	cancel context.CancelFunc
}

// newDeparture returns a context that is canceled once a check finds that the caller has left.
func newDeparture(ctx context.Context) (context.Context, departure) {
	conn, _ := ctx.Value(callerConnKey{}).(net.Conn)
	ctx, cancel := context.WithCancel(ctx)
	return ctx, departure{conn, cancel}
}

// check looks at the connection of the caller. It is called before each attempt is written.
func (d departure) check() {
	if d.conn != nil && netpeek.Look(d.conn) == netpeek.Ended {
		d.cancel()
	}
}
