package gateway

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
)

// A new version that is ordered is recorded as running, used from the second half, and
// completed by whichever process finds it due; its workers get nothing before.
func TestOrderedRolloutIsCarriedOut(t *testing.T) {
	serve := func(_ int, c net.Conn, r seen) bool {
		reply(c, r, 200, "done")
		return true
	}
	old, target := startWorker(t, "old", serve), startWorker(t, "new", serve)
	b := startGateway(t, old)
	w := target.worker()
	w.Version = "v2"
	b.store.PutWorker(w)
	b.store.Order(forward.Rollout{Service: "svc", Target: "v2", Duration: 4 * time.Second})
	started := time.Now()
	b.waitFor("rollout is completed", func() bool {
		assert.Equal(t, b.call("GET", "/safe/x", "").status, 200)
		if time.Since(started) < 1500*time.Millisecond {
			assert.Equal(t, len(target.requests()), 0)
		}
		return b.store.Rollout("svc").State == forward.RolloutCompleted
	})
	assert.Equal(t, b.store.Records()[0].State, forward.RolloutRunning)
	assert.Assert(t, len(target.requests()) > 0)
}

// A worker whose version no order names gets nothing, even when it is the idlest.
func TestUnorderedVersionGetsNothing(t *testing.T) {
	serve := func(_ int, c net.Conn, r seen) bool {
		reply(c, r, 200, "done")
		return true
	}
	old, other := startWorker(t, "old", serve), startWorker(t, "new", serve)
	b := startGateway(t, old)
	w := other.worker()
	w.Version = "v2"
	b.store.PutWorker(w)
	b.waitFor("worker is known", func() bool {
		b.gateway.core.mu.Lock()
		defer b.gateway.core.mu.Unlock()
		return len(b.gateway.core.known) == 2
	})
	for range 20 {
		assert.Equal(t, b.call("GET", "/safe/x", "").status, 200)
	}
	assert.Equal(t, len(other.requests()), 0)
}

// The line of a request must name its attempts, what was believed of the workers and how
// it ended, so that a failure can be explained from its id alone.
func TestLogExplainsFailedRequest(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, _ net.Conn, _ seen) bool { return false })
	b := startGateway(t, w)
	assert.Equal(t, b.call("POST", "/unsafe/x", "q", OwnNames.RequestID, "the-request").status, http.StatusBadGateway)
	b.waitFor("line is written", func() bool { return strings.Contains(b.log.String(), "the-request") })
	for _, want := range []string{`"worker":"w1"`, `"outcome":"broken"`, `"config":1`, `"config_age_ms":`, `"kind":"upstream_failed"`, `"ran":true`} {
		assert.Assert(t, strings.Contains(b.log.String(), want), "%s is missing in %s", want, b.log.String())
	}
}

// Operators must see what a gateway believes and how old it is.
func TestStateShowsBeliefs(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r seen) bool {
		reply(c, r, 200, "done", OwnNames.Load+": 3,1,8")
		return true
	})
	b := startGateway(t, w)
	assert.Equal(t, b.call("GET", "/safe/x", "").status, 200)
	resp, err := http.Get(b.health + "/state")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var s State
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&s))
	assert.Equal(t, s.Instance, "test")
	assert.Assert(t, s.Ready)
	assert.Equal(t, s.Config, int64(1))
	assert.Equal(t, len(s.Workers), 1)
	assert.Assert(t, s.Workers[0].Load > 2 && s.Workers[0].LoadAgeMs >= 0, "%+v", s.Workers[0])
}

// When the order of a completed rollout is removed, its target goes on serving.
func TestTargetServesAfterItsOrderIsRemoved(t *testing.T) {
	r := newRollouts(Settings{Instance: "test", Session: time.Second})
	old, target := forward.Worker{ID: "a", Service: "svc", Version: "v1"}, forward.Worker{ID: "b", Service: "svc", Version: "v2"}
	r.sawVersions([]forward.Worker{old})
	done := forward.Rollout{Service: "svc", Target: "v2", Duration: time.Second, State: forward.RolloutCompleted, StatusTarget: "v2", Revision: 5}
	r.apply(0, &forward.Update{Rollouts: []forward.RolloutChange{{Rollout: done}}}, nopLog())
	r.apply(0, &forward.Update{Rollouts: []forward.RolloutChange{{Rollout: forward.Rollout{Service: "svc"}, Removed: true}}}, nopLog())
	r.sawVersions([]forward.Worker{target})
	choice := r.choose(0, "svc", "", "r1", false)
	assert.Assert(t, choice.allows("v2"))
	assert.Assert(t, !choice.allows("v1"))
}

// Before the rollouts are listed, a worker of a version that is being rolled in looks like
// any other: nothing must be forwarded.
func TestNothingIsForwardedBeforeRolloutsAreListed(t *testing.T) {
	c := newCore(Settings{Instance: "test"}, nopLog())
	c.applyConfig(testConfig(1))
	c.applyWorkers(0, &forward.Update{Full: true})
	known, missing := c.informed()
	assert.Assert(t, !known)
	assert.Equal(t, missing, "rollouts are not known yet")
	c.applyRollouts(0, &forward.Update{Full: true})
	known, _ = c.informed()
	assert.Assert(t, known)
}
