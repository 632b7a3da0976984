package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/framing"
	"github.com/borageflow/borageflow/internal/netpeek"
)

// settleTime is the time after the end of a connection in which its worker may turn out to have ended. Workers that
// crash cut connections up to 40 ms before they refuse new ones.
const settleTime = 60 * time.Millisecond

// lookAtSender looks whether the worker of an attempt lives and has read the request, if the end of its answer is not
// marked.
func (r *request) lookAtSender(ctx context.Context, a *attempt, e *framing.Ending) {
	if e.IsUnmarked() {
		e.SenderLives = r.gateway.isAlive(ctx, a.worker, min(settleTime, r.remaining()/2))
		e.RequestUnread = !a.exchange.isRequestRead()
	}
}

// isRequestRead reports whether a worker that has ended the connection in order may have read the whole request. One
// that closes it with unread bytes resets it.
func (e *exchange) isRequestRead() bool {
	select {
	case <-e.writeDone:
		return e.writeOK && !netpeek.IsReset(e.conn.Conn)
	default:
		return false
	}
}

// checkPlainEnd returns why a plain answer that was read to its end is not whole, or nil.
func (r *request) checkPlainEnd(ctx context.Context, a *attempt) error {
	resp := a.exchange.resp
	if resp.Body == http.NoBody {
		return nil
	}
	ending := framing.Ending{Framing: framing.Of(resp)}
	if r.lookAtSender(ctx, a, &ending); ending.Complete() {
		return nil
	}
	return ending.Why()
}

// isAlive waits and then reports whether a worker accepts connections. The connection that shows it carries the next
// request.
func (g *Gateway) isAlive(ctx context.Context, w forward.Worker, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	c, err := g.pool.dial(ctx, w.Address)
	if err != nil {
		return false
	}
	g.pool.put(w.Address, c)
	return true
}
