package composed

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/entry"
	"github.com/borageflow/borageflow/internal/errkind"
)

// peerFaults holds the faults of the network between entries.
type peerFaults struct {
	// refuse makes every connection attempt fail, so that nothing is sent.
	refuse bool
	// loseCall and loseAnswer are the probabilities that a call or its answer is
	// lost; delayCall is the probability that a call is delayed by up to 4 s, which may
	// exceed its sender's timeout.
	loseCall, loseAnswer, delayCall float64
}

var errLost = errors.New("call between entries has no answer: refused, lost or timed out")

func entryMember(n *entryNode) api.Member {
	return api.Member{
		Instance: n.name, Incarnation: n.incarnation, Role: "entry", FailureDomain: "a", Region: "r",
		State: api.MemberStateReady, Address: n.name,
	}
}

// callEntry sends one call to another entry. done is called exactly once; notSent
// means that the call was certainly not delivered.
func (sim *simulation) callEntry(address string, timeout time.Duration, event func(id uint64) entry.Event, done func(r api.ClaimResult, err error, notSent bool)) {
	finished := false
	finish := func(r api.ClaimResult, err error, notSent bool) {
		if !finished {
			finished = true
			done(r, err, notSent)
		}
	}
	if sim.peerFaults.refuse {
		sim.schedule(sim.messageDelay(), func() { finish(api.ClaimResult{}, errLost, true) })
		return
	}
	sim.schedule(timeout, func() { finish(api.ClaimResult{}, errLost, false) })
	if sim.rng.Float64() < sim.peerFaults.loseCall {
		// The caller notices a cut link immediately or only at the timeout.
		if sim.rng.IntN(2) == 0 {
			sim.schedule(sim.messageDelay(), func() { finish(api.ClaimResult{}, errLost, false) })
		}
		return
	}
	delay := sim.messageDelay()
	if sim.rng.Float64() < sim.peerFaults.delayCall {
		delay += time.Duration(sim.rng.IntN(4000)) * time.Millisecond
	}
	loseAnswer := sim.rng.Float64() < sim.peerFaults.loseAnswer
	for _, target := range sim.entries {
		if target.name != address {
			continue
		}
		incarnation := target.incarnation
		sim.schedule(delay, func() {
			if target.incarnation != incarnation {
				return
			}
			target.lastPeerCall++
			id := target.lastPeerCall
			target.pendingPeerCalls[id] = func(r api.ClaimResult) {
				if loseAnswer {
					return
				}
				sim.schedule(sim.messageDelay(), func() { finish(r, nil, false) })
			}
			sim.deliverToEntry(target, incarnation, event(id))
		})
	}
}

func (sim *simulation) sendClaim(n *entryNode, e entry.ForwardClaim) {
	incarnation := n.incarnation
	sim.callEntry(e.Address, e.Timeout,
		func(id uint64) entry.Event { return entry.PeerClaimReceived{ID: id, Params: e.Params} },
		func(r api.ClaimResult, err error, notSent bool) {
			if err == nil && r.Result == api.ClaimResultResultGranted {
				sim.remoteGrants++
			}
			sim.deliverToEntry(n, incarnation, entry.ForwardClaimDone{Address: e.Address, Request: e.Params.Request, Result: r, Err: err, NotSent: notSent})
		})
}

func (sim *simulation) sendClaimEnd(n *entryNode, e entry.ForwardClaimEnd) {
	incarnation := n.incarnation
	sim.callEntry(e.Address, e.Timeout,
		func(id uint64) entry.Event { return entry.PeerClaimEndReceived{ID: id, Params: e.Params} },
		func(_ api.ClaimResult, err error, _ bool) {
			sim.deliverToEntry(n, incarnation, entry.ForwardClaimEndDone{Request: e.Params.Request, Err: err})
		})
}

func (sim *simulation) answerPeerCall(n *entryNode, id uint64, r api.ClaimResult) {
	if answer := n.pendingPeerCalls[id]; answer != nil {
		delete(n.pendingPeerCalls, id)
		answer(r)
	}
}

func (m *stateMachine) peerFaults(t *rapid.T) {
	share := func(name string) float64 { return rapid.SampledFrom([]float64{0, 0, 0.5, 1}).Draw(t, name) }
	m.sim.peerFaults = peerFaults{
		refuse:   rapid.IntRange(0, 3).Draw(t, "refused") == 0,
		loseCall: share("lose call"), loseAnswer: share("lose answer"), delayCall: share("late"),
	}
}

// sendConfirm sends a non-idempotent call of customer north to an entry.
func sendConfirm(sim *simulation, n *entryNode, request, key string) *call {
	r := entry.RequestArrived{
		Request: request, APIKey: keyNorth, Kind: api.RunKindService, Service: "booking", Operation: "confirm",
		IdempotencyKey: key, Body: json.RawMessage(`{"n":1}`),
	}
	c := &call{request: r, customer: "north", node: n, nodeIncarnation: n.incarnation, sentAt: sim.now}
	sim.oracle.recordCall(c)
	sim.deliverToEntry(n, n.incarnation, r)
	return c
}

// Guards against claims that are never granted by another entry, and against a
// repeat through the other entry that does not get the stored answer.
func TestOtherEntryGrantsClaims(t *testing.T) {
	sim := newSimulation(1)
	for i := range 8 {
		key := fmt.Sprintf("k%d", i)
		first := sendConfirm(sim, sim.entries[0], "first"+key, key)
		sim.advance(2 * time.Second)
		repeat := sendConfirm(sim, sim.entries[1], "repeat"+key, key)
		sim.advance(2 * time.Second)
		assert.Assert(t, first.answer != nil && first.answer.Err == nil)
		assert.Assert(t, repeat.answer != nil && repeat.answer.Err == nil && repeat.answer.Repeated)
	}
	assert.Assert(t, sim.remoteGrants > 0)
	sim.oracle.checkFinalState()
	assert.Equal(t, len(sim.oracle.violations), 0, "%v", sim.oracle.violations)
}

// Guards against an idempotency key that stays blocked because the answer with its
// grant was lost or its claim arrived after its release, and against a caller
// that is kept waiting for such a claim.
func TestLostGrantIsReleased(t *testing.T) {
	faults := []peerFaults{{loseAnswer: 1}, {loseAnswer: 1, delayCall: 1}, {delayCall: 1}}
	lostClaims := make([]int, len(faults))
	for seed := range uint64(30) {
		sim := newSimulation(seed)
		sim.peerFaults = faults[seed%3]
		for i := range 8 {
			c := sendConfirm(sim, sim.entries[i%2], fmt.Sprintf("first%d", i), fmt.Sprintf("k%d", i))
			sim.advance(1500 * time.Millisecond)
			assert.Assert(t, c.answer != nil)
			if c.answer.Err != nil {
				lostClaims[seed%3]++
				assert.Equal(t, c.answer.Err.RunState, api.RunStateNotRun)
				assert.Equal(t, c.answer.Err.Kind, errkind.StoreUnavailable)
				assert.Assert(t, c.answer.Err.RetryAfter > 0)
			}
		}
		sim.peerFaults = peerFaults{}
		sim.advance(10 * time.Second)
		for i := range 8 {
			c := sendConfirm(sim, sim.entries[(i+1)%2], fmt.Sprintf("again%d", i), fmt.Sprintf("k%d", i))
			sim.advance(2 * time.Second)
			assert.Assert(t, c.answer != nil && c.answer.Err == nil, "seed %d key %d: %v", seed, i, c.answer)
		}
		assert.Equal(t, len(sim.oracle.violations), 0, "%v", sim.oracle.violations)
	}
	for i, n := range lostClaims {
		assert.Assert(t, n > 0, "no claim was lost with the faults %+v, so the case tests nothing", faults[i])
	}
}

// Guards against violations of guarantee 7: a release frees an idempotency key
// whose call is running, so that a repeat runs too. It comes about when many
// repeats of few keys overlap while calls between entries are lost.
func TestCrossedRepeatsRunOnce(t *testing.T) {
	faults := []peerFaults{{loseAnswer: 0.5}, {loseCall: 0.5}, {loseAnswer: 0.5, loseCall: 0.3, delayCall: 0.5}}
	for seed := range uint64(9) {
		sim := newSimulation(seed)
		sim.peerFaults = faults[seed%3]
		for i := range 300 {
			sendConfirm(sim, sim.entries[sim.rng.IntN(entryCount)], fmt.Sprintf("r%d", i), fmt.Sprintf("k%d", sim.rng.IntN(10)+i/30*10))
			sim.advance(time.Duration(sim.rng.IntN(30)) * time.Millisecond)
		}
		sim.peerFaults = peerFaults{}
		sim.advance(10 * time.Second)
		sim.oracle.checkFinalState()
		assert.Equal(t, len(sim.oracle.violations), 0, "seed %d: %v", seed, sim.oracle.violations)
	}
}
