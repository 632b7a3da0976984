package gateway

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
)

// Guards against a worker without a stated start that is back under its ID, and whose further ends count for nothing.
func TestWorkerThatIsBackHasNotEnded(t *testing.T) {
	q := newQuarantineGuard("g", false, newGatewayMetrics(), zap.NewNop())
	w := forward.Worker{ID: "w1", Service: "svc"}
	run := &workerRun{worker: w, conns: map[*conn]struct{}{}}
	q.ends.runs[workerKey(w)] = run
	q.recordKnownEnd(w, knownEnd{refusesConnections, time.Now().Add(-2 * lateBytesTime)})
	run.lastReadAt.Store(int64(sinceBoot() - 3*lateBytesTime))
	assert.Equal(t, q.knownEnd(w).sign, refusesConnections)
	run.lastReadAt.Store(int64(sinceBoot()))
	assert.Equal(t, q.knownEnd(w).sign, noEnd)
}

// Guards against broken attempts that keep their requests, with bodies of megabytes, while they wait for the list of
// workers.
func TestUnresolvedAttemptsKeepNoRequests(t *testing.T) {
	e := newEndFinder()
	attempts := make([]endedAttempt, maxRechecksPerWorker)
	for i := range attempts {
		attempts[i] = endedAttempt{request: &request{}, requestID: strings.Repeat("x", 16<<10), brokeAt: time.Now()}
	}
	for _, key := range []string{"a", "b", "c", "d", "e"} {
		e.keepUnresolved(key, attempts)
	}
	assert.Equal(t, e.unresolvedCount, maxUnresolved)
	for _, list := range e.unresolved {
		for _, a := range list {
			assert.Assert(t, a.request == nil)
			assert.Equal(t, len(a.requestID), maxKeptIDBytes)
		}
	}
	for _, key := range []string{"a", "b", "c", "d", "e"} {
		e.takeUnresolved(key)
	}
	assert.Equal(t, e.unresolvedCount, 0)
}
