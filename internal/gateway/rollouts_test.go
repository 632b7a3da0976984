package gateway

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
)

// Guards against a rollout that is not recorded as running or never completes, and against a
// target version that gets requests in the first half of its rollout.
func TestOrderedRolloutCompletes(t *testing.T) {
	serve := func(_ int, c net.Conn, r receivedRequest) bool {
		writeResponse(c, r, 200, "done")
		return true
	}
	old, target := startWorker(t, "old", serve), startWorker(t, "new", serve)
	gw := startGateway(t, old)
	w := target.worker()
	w.Version = "v2"
	gw.store.PutWorker(w)
	gw.store.PutRollout(forward.Rollout{Service: "svc", TargetVersion: "v2", Duration: 4 * time.Second})
	started := time.Now()
	gw.waitFor("rollout is completed", func() bool {
		assert.Equal(t, gw.call("GET", "/safe/x", "").status, 200)
		if time.Since(started) < 1500*time.Millisecond {
			assert.Equal(t, len(target.requests()), 0)
		}
		return gw.store.Rollout("svc").State == forward.RolloutCompleted
	})
	assert.Equal(t, gw.store.RolloutRecords()[0].State, forward.RolloutRunning)
	assert.Assert(t, len(target.requests()) > 0)
}

// Guards against requests to a version without a rollout, also when its worker has the lowest
// load.
func TestVersionWithoutRolloutGetsNoRequests(t *testing.T) {
	serve := func(_ int, c net.Conn, r receivedRequest) bool {
		writeResponse(c, r, 200, "done")
		return true
	}
	old, other := startWorker(t, "old", serve), startWorker(t, "new", serve)
	gw := startGateway(t, old)
	w := other.worker()
	w.Version = "v2"
	gw.store.PutWorker(w)
	gw.waitFor("worker is known", func() bool {
		gw.gateway.dispatcher.mu.Lock()
		defer gw.gateway.dispatcher.mu.Unlock()
		return len(gw.gateway.dispatcher.usableWorkers) == 2
	})
	for range 20 {
		assert.Equal(t, gw.call("GET", "/safe/x", "").status, 200)
	}
	assert.Equal(t, len(other.requests()), 0)
}

// Guards against a log line from which the failure of a request cannot be explained. It must name
// the attempts, the workers, the age of the configuration and the outcome.
func TestLogExplainsFailedRequest(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, _ net.Conn, _ receivedRequest) bool { return false })
	gw := startGateway(t, w)
	assert.Equal(t, gw.call("POST", "/unsafe/x", "q", DefaultHeaderNames.RequestID, "the-request").status, http.StatusBadGateway)
	gw.waitFor("log line is written", func() bool { return strings.Contains(gw.log.String(), "the-request") })
	for _, want := range []string{`"worker":"w1"`, `"outcome":"broken"`, `"config":1`, `"config_age_ms":`, `"kind":"upstream_failed"`, `"ran":true`} {
		assert.Assert(t, strings.Contains(gw.log.String(), want), "%s is missing in %s", want, gw.log.String())
	}
}

// Guards against a status page without the load that a worker reported and the age of that
// report.
func TestStateReportsWorkerLoad(t *testing.T) {
	w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
		writeResponse(c, r, 200, "done", DefaultHeaderNames.Load+": 3,1,8")
		return true
	})
	gw := startGateway(t, w)
	assert.Equal(t, gw.call("GET", "/safe/x", "").status, 200)
	resp, err := http.Get(gw.health + "/state")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var s State
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&s))
	assert.Equal(t, s.Instance, "test")
	assert.Assert(t, s.Ready)
	assert.Equal(t, s.ConfigVersion, int64(1))
	assert.Equal(t, len(s.Workers), 1)
	assert.Assert(t, s.Workers[0].Load > 2 && s.Workers[0].LoadAgeMs >= 0, "%+v", s.Workers[0])
}

// Guards against a service without a usable version after the rollout that it completed is
// removed. The target must go on serving.
func TestTargetServesAfterItsOrderIsRemoved(t *testing.T) {
	tracker := newRolloutTracker(Settings{Instance: "test", SessionTimeout: time.Second})
	old, target := forward.Worker{ID: "a", Service: "svc", Version: "v1"}, forward.Worker{ID: "b", Service: "svc", Version: "v2"}
	tracker.recordBaseline([]forward.Worker{old})
	done := forward.Rollout{Service: "svc", TargetVersion: "v2", Duration: time.Second, State: forward.RolloutCompleted, StatusTarget: "v2", Revision: 5}
	tracker.apply(0, &forward.Update{Rollouts: []forward.RolloutChange{{Rollout: done}}}, newNopLogger())
	tracker.apply(0, &forward.Update{Rollouts: []forward.RolloutChange{{Rollout: forward.Rollout{Service: "svc"}, Removed: true}}}, newNopLogger())
	tracker.recordBaseline([]forward.Worker{target})
	filter := tracker.chooseVersion(0, "svc", "", "r1", false)
	assert.Assert(t, filter.allowed("v2"))
	assert.Assert(t, !filter.allowed("v1"))
}

// Guards against requests that are forwarded before the rollouts are listed. Until then a
// worker of a version that is being rolled out cannot be distinguished from the others.
func TestNothingIsForwardedBeforeRolloutsAreListed(t *testing.T) {
	d := newDispatcher(Settings{Instance: "test"}, newNopLogger())
	d.applyConfig(testConfig(1))
	d.applyWorkers(0, &forward.Update{Full: true})
	synced, reason := d.hasSynced()
	assert.Assert(t, !synced)
	assert.Equal(t, reason, "rollouts have not been received from the store yet")
	d.applyRollouts(0, &forward.Update{Full: true})
	synced, _ = d.hasSynced()
	assert.Assert(t, synced)
}

// Guards against a line in the log for each rollout whenever the topic is listed again, as after
// each outage of the store.
func TestKnownRolloutIsNotLoggedAgain(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	tracker := newRolloutTracker(testSettings(t))
	record := forward.Rollout{Service: "svc", TargetVersion: "v2", Duration: time.Minute, Revision: 7}
	for range 3 {
		tracker.upsert(time.Second, record, zap.New(core))
	}
	assert.Equal(t, logs.Len(), 1)
	record.State, record.Revision = forward.RolloutRunning, 8
	tracker.upsert(2*time.Second, record, zap.New(core))
	assert.Equal(t, logs.Len(), 2)
}

// Guards against a log from which it cannot be seen why a rollout went on or was rolled back: the
// line of a step states the answers that this process had judged.
func TestRolloutLineStatesItsEvidence(t *testing.T) {
	serve := func(_ int, c net.Conn, r receivedRequest) bool {
		writeResponse(c, r, 200, "done")
		return true
	}
	gw := startGateway(t, startWorker(t, "old", serve))
	gw.store.PutRollout(forward.Rollout{Service: "svc", TargetVersion: "v2", Duration: time.Second})
	gw.waitFor("first step is recorded", func() bool {
		assert.Equal(t, gw.call("GET", "/safe/x", "").status, 200)
		return strings.Contains(gw.log.String(), `"step":1`)
	})
	assert.Assert(t, strings.Contains(gw.log.String(), `"evidence":{"answers":0,"failed":0,"own_answers":0,"other_answers":`), gw.log.String())
}

// Guards against a version that was rolled back, or is known to be bad, and gets requests again after
// the store has come back from an older copy, in which its rollout is running, missing or ordered
// again; and against a final state that is not written again.
func TestRolledBackVersionStaysSoInALaterEra(t *testing.T) {
	older := forward.Rollout{Service: "svc", TargetVersion: "v2", Duration: 20 * time.Second, State: forward.RolloutRunning, StatusTarget: "v2", Step: 1, Revision: forward.EraRevision(1, 50), CreatedRevision: 40}
	for _, final := range []forward.RolloutState{forward.RolloutRolledBack, forward.RolloutCompleted} {
		tracker := newRolloutTracker(testSettings(t))
		apply := func(now time.Duration, full bool, changes ...forward.RolloutChange) {
			revision := int64(0)
			for _, c := range changes {
				revision = max(revision, c.Revision)
			}
			tracker.apply(now, &forward.Update{Full: full, Revision: revision, Rollouts: changes}, newNopLogger())
		}
		ended := older
		ended.State, ended.Step, ended.Revision = final, 3, forward.EraRevision(1, 60)
		apply(0, true, forward.RolloutChange{Rollout: older})
		apply(10*time.Second, false, forward.RolloutChange{Rollout: ended})
		usesTarget := func() bool { return tracker.chooseVersion(20*time.Second, "svc", "", "r", false).allowed("v2") }
		assert.Equal(t, usesTarget(), final == forward.RolloutCompleted)

		copied := older
		copied.Revision = forward.EraRevision(2, 50)
		missing := forward.RolloutChange{Rollout: forward.Rollout{Service: "svc", Revision: forward.EraRevision(2, 45)}, Removed: true}
		again := older
		again.State, again.StatusTarget, again.Step, again.Revision, again.CreatedRevision = "", "", 0, forward.EraRevision(2, 55), 55
		for _, change := range []forward.RolloutChange{missing, {Rollout: copied}, {Rollout: again}} {
			apply(20*time.Second, false, change)
			assert.Equal(t, usesTarget(), final == forward.RolloutCompleted)
		}
		writes := tracker.dueWrites(22 * time.Second)
		assert.Equal(t, len(writes), 1)
		assert.Equal(t, writes[0].progress.State, final)
		assert.Equal(t, writes[0].record.Revision, again.Revision)
		written := again
		written.State, written.StatusTarget, written.Revision = final, "v2", forward.EraRevision(2, 56)
		tracker.handleWriteResult(22*time.Second, writes[0], written, nil, newNopLogger())
		assert.Equal(t, len(tracker.dueWrites(30*time.Second)), 0, "a final state is written once")

		late := older
		late.Revision = forward.EraRevision(1, 70)
		apply(31*time.Second, false, forward.RolloutChange{Rollout: late})
		assert.Equal(t, usesTarget(), final == forward.RolloutCompleted, "a late answer of the earlier era")
	}
}

// Guards against an order of the same target that does not start anew within one era.
func TestSameTargetCanBeOrderedAgain(t *testing.T) {
	tracker := newRolloutTracker(testSettings(t))
	order := forward.Rollout{Service: "svc", TargetVersion: "v2", Duration: 20 * time.Second, State: forward.RolloutRolledBack, StatusTarget: "v2", Revision: 5, CreatedRevision: 3}
	tracker.upsert(0, order, newNopLogger())
	tracker.remove("svc")
	order.State, order.StatusTarget, order.Revision, order.CreatedRevision = "", "", 9, 9
	tracker.upsert(0, order, newNopLogger())
	assert.Equal(t, tracker.byService["svc"].state(), forward.RolloutState(""))
}

// Guards against a request without a session that is refused because the workers of a rollout's target are cold,
// while warm workers of the other version are free. One of a session waits for its version.
func TestColdTargetLeavesTheOtherVersion(t *testing.T) {
	d := newDispatcher(testSettings(t), newNopLogger())
	config := testConfig(1)
	config.Services["svc"] = forward.Service{Name: "svc", ColdStart: time.Minute, ColdPerSecond: 1}
	d.applyConfig(config)
	now := sinceBoot()
	worker := func(id, version string, coldFor time.Duration) forward.WorkerChange {
		return forward.WorkerChange{Worker: forward.Worker{ID: id, Service: "svc", Version: version, FailureDomain: "a"}, ColdFor: coldFor}
	}
	d.applyWorkers(now, &forward.Update{Full: true, Revision: 5, Workers: []forward.WorkerChange{worker("old", "v1", 0), worker("new", "v2", time.Minute)}})
	d.applyRollouts(now, &forward.Update{Full: true, Revision: 6, Rollouts: []forward.RolloutChange{{Rollout: forward.Rollout{
		Service: "svc", TargetVersion: "v2", Duration: time.Minute, State: forward.RolloutCompleted, StatusTarget: "v2", Revision: 6, CreatedRevision: 6,
	}}}})
	for d.placer.Explain(now, forward.WorkerQuery{Service: "svc", Exclude: []string{"old"}}, d.rng).Found {
		d.placer.RecordStart(now, "new", "", nil, 0) // uses the permits of the cold worker
	}
	got, _, ok := d.pickWorker(now, forward.WorkerQuery{Service: "svc"}, "", "request", false)
	assert.Check(t, ok && got.Worker.ID == "old", "placed: %v at %q", ok, got.Worker.ID)
	_, _, ok = d.pickWorker(now, forward.WorkerQuery{Service: "svc"}, "session", "request", false)
	assert.Check(t, !ok, "a request of a session ran on the other version")
}
