package gateway

import (
	"context"

	"github.com/borageflow/borageflow/internal/netpeek"
)

// departure cancels a request whose caller has left.
type departure struct {
	caller context.Context // has the connection of the caller
	cancel context.CancelFunc
}

// newDeparture returns a context that is canceled once a check finds that the caller has left.
func newDeparture(ctx context.Context) (context.Context, departure) {
	canceled, cancel := context.WithCancel(ctx)
	return canceled, departure{caller: ctx, cancel: cancel}
}

// check looks at the connection of the caller. It is called before each attempt is written.
func (d departure) check() {
	if netpeek.CallerLeft(d.caller) {
		d.cancel()
	}
}
