package gateway

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/rollout"
	"github.com/borageflow/borageflow/internal/standin/forwarding"
)

// Guards against streams of a target whose events come several times slower, and that no gateway
// judges, or only the one that served them.
func TestPaceOfStreamsReachesOtherGateways(t *testing.T) {
	address := freeAddress(t)
	w := startWorker(t, "w1", func(_ int, c net.Conn, r receivedRequest) bool {
		writeStreamHeader(c, r)
		writeChunk(c, formatEvent(1))
		time.Sleep(20 * time.Millisecond)
		writeChunk(c, formatEvent(2))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	store := forwarding.NewStore()
	store.PutConfig(testConfig(1))
	store.PutWorker(w.worker())
	store.PutRollout(forward.Rollout{Service: "svc", TargetVersion: "v2", Duration: time.Minute})
	start := func(instance, listen string, store *forwarding.Store) *gatewayHarness {
		s := testSettings(t)
		s.Instance, s.PeerAddress, s.Relays = instance, listen, []string{address}
		return startGatewayWith(t, s, store)
	}
	relay, other := start("relay", address, store), start("other", freeAddress(t), forwarding.NewForwardingStore(store))
	other.waitFor("worker and rollout are known", func() bool {
		state := other.gateway.dispatcher.state(sinceBoot())
		return len(state.Rollouts) == 1 && len(state.Workers) == 1
	})
	for range 10 {
		assert.NilError(t, other.call("POST", "/once/x", "prompt").err)
	}
	for i := range 20 {
		target := forward.Worker{ID: fmt.Sprint("t", i%5), Service: "svc", Version: "v2"}
		meter := paceMeter{dispatcher: other.gateway.dispatcher, evidence: other.gateway.dispatcher.startEvidence(target, "once/", 0)}
		meter.event()
		time.Sleep(60 * time.Millisecond)
		meter.event()
	}
	for _, gw := range []*gatewayHarness{other, relay} {
		gw.waitFor("target is known to be bad", func() bool {
			return gw.gateway.dispatcher.state(sinceBoot()).Rollouts[0].Regression == "pace of streams"
		})
	}
}

// Guards against a caller who reads slowly and makes the worker look slow.
func TestPaceLeavesOutSlowCallers(t *testing.T) {
	store := forwarding.NewStore()
	store.PutConfig(testConfig(1))
	store.PutRollout(forward.Rollout{Service: "svc", TargetVersion: "v2", Duration: time.Minute})
	gw := startGatewayWith(t, testSettings(t), store)
	gw.waitFor("rollout is known", func() bool { return len(gw.gateway.dispatcher.state(sinceBoot()).Rollouts) == 1 })
	d := gw.gateway.dispatcher
	observe := func(version string, blocked time.Duration) {
		meter := paceMeter{dispatcher: d, evidence: d.startEvidence(forward.Worker{ID: "w", Service: "svc", Version: version}, "once/", 0)}
		meter.event()
		meter.written(blocked)
		meter.event()
	}
	for range 20 {
		observe("v1", 0)
		observe("v2", 0)
		observe("v2", 2*maxBlockedWrite)
	}
	var summary rollout.EvidenceSummary
	d.mu.Lock()
	summary = d.rollouts.byService["svc"].progress.Summary()
	d.mu.Unlock()
	assert.Assert(t, summary.Paces > 0 && summary.Paces <= 20, "%d paces", summary.Paces)
}
