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

// peerFaults are the faults of the network between entries.
type peerFaults struct {
	// refused means that no connection opens, so that nothing is sent.
	refused bool
	// loseCall and loseAnswer are shares of messages; late is the share of calls
	// that arrive seconds after their sender gave up.
	loseCall, loseAnswer, late float64
}

var errLost = errors.New("answer is lost")

func entryMember(n *entryNode) api.Member {
	return api.Member{
		Instance: n.name, Incarnation: n.incarnation, Role: "entry", FailureDomain: "a", Region: "r",
		State: api.MemberStateReady, Address: n.name,
	}
}

// askEntry carries one call between entries. done runs exactly once.
func (w *world) askEntry(address string, timeout time.Duration, offer func(id uint64) entry.Event, done func(r api.ClaimResult, err error, notSent bool)) {
	over := false
	end := func(r api.ClaimResult, err error, notSent bool) {
		if !over {
			over = true
			done(r, err, notSent)
		}
	}
	if w.peers.refused {
		w.after(w.delay(), func() { end(api.ClaimResult{}, errLost, true) })
		return
	}
	w.after(timeout, func() { end(api.ClaimResult{}, errLost, false) })
	if w.rng.Float64() < w.peers.loseCall {
		// A cut link is noticed at once or not before the timeout.
		if w.rng.IntN(2) == 0 {
			w.after(w.delay(), func() { end(api.ClaimResult{}, errLost, false) })
		}
		return
	}
	delay := w.delay()
	if w.rng.Float64() < w.peers.late {
		delay += time.Duration(w.rng.IntN(4000)) * time.Millisecond
	}
	loseAnswer := w.rng.Float64() < w.peers.loseAnswer
	for _, target := range w.entries {
		if target.name != address {
			continue
		}
		incarnation := target.incarnation
		w.after(delay, func() {
			if target.incarnation != incarnation {
				return
			}
			target.lastOffer++
			id := target.lastOffer
			target.offers[id] = func(r api.ClaimResult) {
				if loseAnswer {
					return
				}
				w.after(w.delay(), func() { end(r, nil, false) })
			}
			w.toEntry(target, incarnation, offer(id))
		})
	}
}

func (w *world) handClaim(n *entryNode, e entry.HandClaim) {
	incarnation := n.incarnation
	w.askEntry(e.Address, e.Timeout,
		func(id uint64) entry.Event { return entry.ClaimOffered{ID: id, Params: e.Params} },
		func(r api.ClaimResult, err error, notSent bool) {
			if err == nil && r.Result == api.ClaimResultResultGranted {
				w.handed++
			}
			w.toEntry(n, incarnation, entry.ClaimHanded{Address: e.Address, Request: e.Params.Request, Result: r, Err: err, NotSent: notSent})
		})
}

func (w *world) handClaimEnd(n *entryNode, e entry.HandClaimEnd) {
	incarnation := n.incarnation
	w.askEntry(e.Address, e.Timeout,
		func(id uint64) entry.Event { return entry.ClaimEndOffered{ID: id, Params: e.Params} },
		func(_ api.ClaimResult, err error, _ bool) {
			w.toEntry(n, incarnation, entry.ClaimEndHanded{Request: e.Params.Request, Err: err})
		})
}

func (w *world) answerOffer(n *entryNode, id uint64, r api.ClaimResult) {
	if answer := n.offers[id]; answer != nil {
		delete(n.offers, id)
		answer(r)
	}
}

func (m *machine) peerFaults(t *rapid.T) {
	share := func(name string) float64 { return rapid.SampledFrom([]float64{0, 0, 0.5, 1}).Draw(t, name) }
	m.w.peers = peerFaults{
		refused:  rapid.IntRange(0, 3).Draw(t, "refused") == 0,
		loseCall: share("lose call"), loseAnswer: share("lose answer"), late: share("late"),
	}
}

func confirm(w *world, n *entryNode, request, key string) *call {
	r := entry.RequestArrived{
		Request: request, Key: keyNorth, Kind: api.RunKindService, Service: "booking", Operation: "confirm",
		IdempotencyKey: key, Body: json.RawMessage(`{"n":1}`),
	}
	c := &call{request: r, customer: "north", node: n, nodeAt: n.incarnation, sentAt: w.now}
	w.oracle.sent(c)
	w.toEntry(n, n.incarnation, r)
	return c
}

// Guards against claims that never reach another entry, and against a repeat
// through the other entry that does not get the stored answer.
func TestClaimsAreHandedOver(t *testing.T) {
	w := newWorld(1)
	for i := range 8 {
		key := fmt.Sprintf("k%d", i)
		first := confirm(w, w.entries[0], "first"+key, key)
		w.advance(2 * time.Second)
		repeat := confirm(w, w.entries[1], "repeat"+key, key)
		w.advance(2 * time.Second)
		assert.Assert(t, first.answer != nil && first.answer.Err == nil)
		assert.Assert(t, repeat.answer != nil && repeat.answer.Err == nil && repeat.answer.Repeated)
	}
	assert.Assert(t, w.handed > 0)
	w.oracle.finish()
	assert.Equal(t, len(w.oracle.broken), 0, "%v", w.oracle.broken)
}

// Guards against a key that stays blocked because the answer of its grant was
// lost or its claim arrived after its release, and against a caller that waits
// for it.
func TestLostGrantIsReleased(t *testing.T) {
	faults := []peerFaults{{loseAnswer: 1}, {loseAnswer: 1, late: 1}, {late: 1}}
	lost := make([]int, len(faults))
	for seed := range uint64(30) {
		w := newWorld(seed)
		w.peers = faults[seed%3]
		for i := range 8 {
			c := confirm(w, w.entries[i%2], fmt.Sprintf("first%d", i), fmt.Sprintf("k%d", i))
			w.advance(1500 * time.Millisecond)
			assert.Assert(t, c.answer != nil)
			if c.answer.Err != nil {
				lost[seed%3]++
				assert.Equal(t, c.answer.Err.RunState, api.RunStateNotRun)
				assert.Equal(t, c.answer.Err.Kind, errkind.StoreUnavailable)
				assert.Assert(t, c.answer.Err.RetryAfter > 0)
			}
		}
		w.peers = peerFaults{}
		w.advance(10 * time.Second)
		for i := range 8 {
			c := confirm(w, w.entries[(i+1)%2], fmt.Sprintf("again%d", i), fmt.Sprintf("k%d", i))
			w.advance(2 * time.Second)
			assert.Assert(t, c.answer != nil && c.answer.Err == nil, "seed %d key %d: %v", seed, i, c.answer)
		}
		assert.Equal(t, len(w.oracle.broken), 0, "%v", w.oracle.broken)
	}
	for i, n := range lost {
		assert.Assert(t, n > 0, "no claim was lost under %+v", faults[i])
	}
}
