package news

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/quarantine"
	"github.com/borageflow/borageflow/internal/rollout"
)

// reportNet is a set of gateways and relays that exchange in virtual time. With isFull set, each message
// holds everything, as if nothing were known of what the reader has.
type reportNet struct {
	isFull   bool
	clock    manualClock
	runs     int
	readers  int
	relays   []*Relay
	members  []api.Member
	gateways []*reportGateway
}

type reportGateway struct {
	member  api.Member
	tracker *quarantine.Tracker
	cursors map[int]*QuarantineCursor
	own     rollout.Evidence
	others  rollout.Evidence
	loads   WorkerStats
	got     PeerReport
	// last is the last request to each relay, which a fault may repeat.
	last map[int]api.LoadsParams
}

func newReportNet(isFull bool, relays, gateways int) *reportNet {
	n := &reportNet{isFull: isFull, relays: make([]*Relay, relays), members: make([]api.Member, relays)}
	for i := range n.relays {
		n.restartRelay(i)
	}
	n.gateways = make([]*reportGateway, gateways)
	for i := range n.gateways {
		n.restartGateway(i)
	}
	return n
}

func (n *reportNet) restartRelay(i int) {
	n.runs++
	n.relays[i] = NewRelay(time.Second, n.clock.elapsed, zap.NewNop())
	n.members[i] = api.Member{Instance: fmt.Sprint("relay-", i), Incarnation: n.runs}
}

func (n *reportNet) restartGateway(i int) {
	n.runs++
	n.gateways[i] = &reportGateway{
		member:  api.Member{Instance: fmt.Sprint("gateway-", i), Incarnation: n.runs},
		tracker: quarantine.NewTracker(fmt.Sprint("gateway-", i, "@", n.runs), time.UnixMilli(0)),
		cursors: map[int]*QuarantineCursor{}, own: rollout.NewEvidence(), others: rollout.NewEvidence(), loads: NewWorkerStats(), last: map[int]api.LoadsParams{},
	}
}

// reader returns how a relay sees a process.
func (n *reportNet) reader(m api.Member) *api.Member {
	if n.isFull {
		n.readers++
		m.Incarnation = -n.readers // from whom nothing is known to have come
	}
	return &m
}

// exchange lets a gateway exchange with a relay. isLost loses the answer.
func (n *reportNet) exchange(t *rapid.T, gateway, relay int, isLost bool) {
	g := n.gateways[gateway]
	c := g.cursors[relay]
	if c == nil {
		c = &QuarantineCursor{}
		g.cursors[relay] = c
	}
	now := n.clock.elapsed()
	own := OwnReport{WorkerStats: g.loads, Evidence: []EvidenceRecord{{"r", fmt.Sprint(g.member.Instance, "@", g.member.Incarnation), g.own}}, Now: now}
	switch {
	case n.isFull:
		own.Quarantine, own.QuarantineSent = g.tracker.Changes(0, MaxQuarantineRecords, quarantine.NoSource)
	default:
		own.Quarantine, own.QuarantineSent = g.tracker.Changes(c.Sent, MaxQuarantineRecords, quarantine.Source(c.Run)) //nolint:gosec // identifies the run
		own.QuarantineRead = c.Read
	}
	params := own.params()
	g.last[relay] = params
	result, err := n.relays[relay].answerLoads(n.reader(g.member), &params)
	assert.NilError(t, err)
	if isLost {
		return
	}
	got, err := readAnswer(now, &n.members[relay], n.relays[relay].packer.pack(&result, true))
	assert.NilError(t, err)
	c.Advance(got.QuarantineRun, got.QuarantineRead, own.QuarantineSent)
	g.tracker.Merge(now, quarantine.Source(got.QuarantineRun), got.Quarantine) //nolint:gosec // identifies the run
	for _, e := range got.Evidence {
		g.others.Raise(e.Evidence)
	}
	g.got = got
}

// repeat delivers the last request of a gateway to a relay once more, late.
func (n *reportNet) repeat(t *rapid.T, gateway, relay int) {
	g := n.gateways[gateway]
	if params, ok := g.last[relay]; ok {
		_, err := n.relays[relay].answerLoads(n.reader(g.member), &params)
		assert.NilError(t, err)
	}
}

// fetch lets a relay fetch from another one.
func (n *reportNet) fetch(t *rapid.T, to, from int, isLost bool) {
	params := n.relays[to].fetchParams(fmt.Sprint(from))
	if n.isFull {
		params.EvidenceSince, params.QuarantineSince = 0, 0
	}
	result, err := n.relays[from].answerLoads(n.reader(n.members[to]), &params)
	assert.NilError(t, err)
	if isLost {
		return
	}
	got, err := readAnswer(n.clock.elapsed(), &n.members[from], n.relays[from].packer.pack(&result, true))
	assert.NilError(t, err)
	n.relays[to].applyFetched(fmt.Sprint(from), &got)
}

// settle lets everyone exchange without faults until all is known: a gateway finds that its relay has
// restarted, sends everything, others learn of an end, state their finished requests, and learn of each
// other's.
func (n *reportNet) settle(t *rapid.T) {
	for range 8 {
		for i := range n.gateways {
			n.exchange(t, i, i%len(n.relays), false)
		}
		for to := range n.relays {
			for from := range n.relays {
				if to != from {
					n.fetch(t, to, from, false)
				}
			}
		}
	}
}

// records returns what a gateway knows of the quarantine, without times.
func (g *reportGateway) records() map[string]float64 {
	out := map[string]float64{}
	all, _ := g.tracker.Changes(0, 1<<20, quarantine.NoSource)
	for _, r := range all {
		switch {
		case r.Crash != nil:
			out[fmt.Sprint("crash ", r.Part, r.Crash.Worker)] = r.Crash.Weight
		case r.Finished != nil:
			out[fmt.Sprint("finished ", r.Part, r.Finished.Origin)] = 1
		}
	}
	return out
}

// Guards against a gateway that comes to know less through messages that leave out what the reader
// has than through full ones, after lost and repeated messages, changes of the relay, and restarts of
// gateways and relays.
func TestPartialReportsSayWhatFullOnesSay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const relays, gateways = 3, 5
		nets := []*reportNet{newReportNet(false, relays, gateways), newReportNet(true, relays, gateways)}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			event, g := rapid.IntRange(0, 9).Draw(t, "event"), rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			relay, value := rapid.IntRange(0, relays-1).Draw(t, "relay"), rapid.IntRange(1, 4).Draw(t, "value")
			for _, n := range nets {
				n.clock.now.Add(int64(50 * time.Millisecond))
				now, gateway := n.clock.elapsed(), n.gateways[g]
				switch event {
				case 0:
					gateway.tracker.RecordEnd(now, quarantine.WorkerEnd{Service: "s", Worker: fmt.Sprint(value), IDs: []uint64{1, uint64(value)}, Weight: 1}) //nolint:gosec // small
				case 1:
					gateway.tracker.RecordFinished(now, now-time.Second, "s", []uint64{1, uint64(value)}) //nolint:gosec // small
				case 2:
					baseline := &rollout.RatioHistogram{}
					baseline[value] = 1
					gateway.own.Add(rollout.Evidence{Workers: rollout.Tallies{uint32(value): {Answers: value}}, Kinds: rollout.Tallies{9: {Failed: 1}}, Baseline: baseline}) //nolint:gosec // small
				case 3:
					gateway.loads.Loads = Loads{uint32(value): 8 * value} //nolint:gosec // small
				case 4:
					n.repeat(t, g, relay)
				case 5:
					n.fetch(t, relay, (relay+1)%relays, value == 1)
				case 6:
					if value == 1 {
						n.restartRelay(relay)
					}
				case 7:
					if value == 1 {
						n.restartGateway(g)
					}
				default:
					at := g % relays
					if value == 1 {
						at = relay
					}
					n.exchange(t, g, at, value == 2)
				}
			}
		}
		for _, n := range nets {
			n.clock.now.Add(int64(2 * loadTTL)) // statements to former relays end
			n.settle(t)
		}
		for i := range gateways {
			partial, full := nets[0].gateways[i], nets[1].gateways[i]
			assert.DeepEqual(t, partial.got.WorkerStats, full.got.WorkerStats)
			assert.Equal(t, partial.got.Gateways, full.got.Gateways)
			assert.DeepEqual(t, partial.others, full.others)
			assert.DeepEqual(t, partial.records(), full.records())
		}
	})
}
