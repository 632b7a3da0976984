package news

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/quarantine"
	"github.com/borageflow/borageflow/internal/rollout"
)

const (
	// messageBytes is what JSON-RPC and the stream put around one request and its answer.
	messageBytes = 110
	// controlBytesPerSecond is what a process may use for control.
	controlBytesPerSecond = 5000
	fleetStep             = 50 * time.Millisecond
	fleetDomains          = 3
)

// fleet is a deployment whose gateways and relays exchange real messages in virtual time.
type fleet struct {
	t        *testing.T
	rng      *rand.Rand
	clock    manualClock
	workers  int
	relays   []*Relay
	fetchAt  []Elapsed
	gateways []*fleetGateway
	// gatewayBytes are those between gateways and relays, pairBytes those between relays, and
	// fullPairBytes what relays would send each other if they repeated all loads and evidence.
	gatewayBytes, pairBytes, fullPairBytes int
}

type fleetGateway struct {
	member   api.Member
	relay    *Relay
	tracker  *quarantine.Tracker
	cursor   QuarantineCursor
	requests []fleetRequest
	evidence rollout.Evidence
	next     Elapsed
}

type fleetRequest struct {
	worker   int
	began    Elapsed
	finishAt Elapsed
	parts    []uint64
}

func newFleet(t *testing.T, gateways, workers int) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(1, 2)), workers: workers} //nolint:gosec // a test
	for range fleetDomains {
		f.relays = append(f.relays, NewRelay(time.Second, f.clock.elapsed, zap.NewNop()))
		f.fetchAt = append(f.fetchAt, 0)
	}
	for i := range gateways {
		f.gateways = append(f.gateways, &fleetGateway{
			member: api.Member{Instance: fmt.Sprint("gateway-", i), Incarnation: 1}, relay: f.relays[i%fleetDomains],
			tracker: quarantine.NewTracker(fmt.Sprint("gateway-", i), time.UnixMilli(0)), evidence: rollout.NewEvidence(),
		})
	}
	return f
}

func encodedBytes(t *testing.T, message any) int {
	raw, err := json.Marshal(message)
	assert.NilError(t, err)
	return len(raw)
}

// serve starts and ends the requests of a step, of which each counts as evidence on a rollout.
func (f *fleet) serve(g *fleetGateway, requestsPerSecond float64) {
	now := f.clock.elapsed()
	kept := g.requests[:0]
	for _, r := range g.requests {
		if now < r.finishAt {
			kept = append(kept, r)
			continue
		}
		g.tracker.RecordFinished(now, r.began, "svc", r.parts)
		tally := rollout.Tally{Answers: 1, SlowFor: f.rng.IntN(3)}
		g.evidence.Add(rollout.Evidence{Workers: rollout.Tallies{WorkerHash(fmt.Sprint("worker-", r.worker)): tally}, Kinds: rollout.Tallies{7: tally}})
	}
	g.requests = kept
	for wanted := requestsPerSecond * fleetStep.Seconds(); wanted > f.rng.Float64(); wanted-- {
		r := fleetRequest{worker: f.rng.IntN(f.workers), began: now, finishAt: now + time.Duration(f.rng.ExpFloat64()*float64(time.Second))}
		r.parts = []uint64{1, 100 + f.rng.Uint64N(50), f.rng.Uint64()}
		g.requests = append(g.requests, r)
	}
}

// crash ends a worker under the requests that have just begun there.
func (f *fleet) crash(worker int) {
	now := f.clock.elapsed()
	for _, g := range f.gateways {
		for _, r := range g.requests {
			if r.worker == worker && now-r.began < 300*time.Millisecond {
				g.tracker.RecordEnd(now, quarantine.WorkerEnd{Service: "svc", Worker: fmt.Sprint("worker-", worker), IDs: r.parts[:2], Weight: 1})
			}
		}
	}
}

// exchange sends the messages that are due.
func (f *fleet) exchange() {
	now := f.clock.elapsed()
	for _, g := range f.gateways {
		if now >= g.next {
			f.exchangeGateway(g, now)
		}
	}
	for i, relay := range f.relays {
		if now < f.fetchAt[i] {
			continue
		}
		for j, other := range f.relays {
			if i == j {
				continue
			}
			params := relay.fetchParams(fmt.Sprint(j))
			result, err := other.answerLoads(&api.Member{Instance: fmt.Sprint("relay-", i)}, &params)
			assert.NilError(f.t, err)
			sent := other.packer.pack(&result, params.ReadsPacked)
			f.pairBytes += messageBytes + encodedBytes(f.t, params) + encodedBytes(f.t, sent)
			f.fullPairBytes += messageBytes + encodedBytes(f.t, params) + f.fullAnswerBytes(other, &result)
			got, err := readAnswer(now, &api.Member{Instance: fmt.Sprint("relay-", j)}, sent)
			assert.NilError(f.t, err)
			relay.applyFetched(fmt.Sprint(j), &got)
			f.fetchAt[i] = now + got.Next
		}
	}
}

// fullAnswerBytes returns the length of an answer that repeats the evidence of all gateways of a relay.
func (f *fleet) fullAnswerBytes(relay *Relay, result *api.LoadsResult) int {
	full := *result
	full.Evidence = nil
	for _, g := range f.gateways {
		if g.relay == relay {
			full.Evidence = append(full.Evidence, encodeEvidence([]EvidenceRecord{{Rollout: "svc/v2@1", Origin: g.member.Instance, Evidence: g.evidence}})...)
		}
	}
	return encodedBytes(f.t, full)
}

func (f *fleet) exchangeGateway(g *fleetGateway, now Elapsed) {
	own := OwnReport{WorkerStats: NewWorkerStats(), Evidence: []EvidenceRecord{{"svc/v2@1", g.member.Instance, g.evidence}}, Now: now}
	for _, r := range g.requests {
		own.Loads.Add(fmt.Sprint("worker-", r.worker), 1)
	}
	own.Demand.Add("svc", float64(len(g.requests)))
	own.Quarantine, own.QuarantineSent = g.tracker.Changes(g.cursor.Sent, MaxQuarantineRecords, quarantine.Source(g.cursor.Run)) //nolint:gosec // identifies the run
	own.QuarantineRead = g.cursor.Read
	params := own.params()
	result, err := g.relay.answerLoads(&g.member, &params)
	assert.NilError(f.t, err)
	sent := g.relay.packer.pack(&result, params.ReadsPacked)
	f.gatewayBytes += messageBytes + encodedBytes(f.t, params) + encodedBytes(f.t, sent)
	got, err := readAnswer(now, &api.Member{Instance: "relay"}, sent)
	assert.NilError(f.t, err)
	g.cursor.Advance(got.QuarantineRun, got.QuarantineRead, own.QuarantineSent)
	g.tracker.Merge(now, quarantine.Source(got.QuarantineRun), got.Quarantine) //nolint:gosec // identifies the run
	g.next = now + got.Next
}

// fleetSizes are the deployments that the exchange is measured on.
var fleetSizes = []struct {
	gateways, workers int
	requestsPerSecond float64
}{{4, 52, 120}, {29, 52, 865}, {50, 300, 1200}, {103, 910, 2400}}

// fleetBytes is what a fleet exchanged, in bytes a second.
type fleetBytes struct {
	// gateway is that of one gateway and its relay, pair that of one relay with the others, and
	// fullPair the same with full answers.
	gateway, pair, fullPair float64
}

// playFleets plays 12 s of a rollout at each size, in which a tenth of the workers end.
func playFleets(t *testing.T) []fleetBytes {
	const duration = 12 * time.Second
	var out []fleetBytes
	for _, size := range fleetSizes {
		f := newFleet(t, size.gateways, size.workers)
		for at := time.Duration(0); at < duration; at += fleetStep {
			f.clock.now.Store(int64(at))
			for _, g := range f.gateways {
				f.serve(g, size.requestsPerSecond/float64(size.gateways))
			}
			if at >= duration/4 && at < duration/4+time.Duration(size.workers/10)*fleetStep {
				f.crash(f.rng.IntN(size.workers))
			}
			f.exchange()
		}
		perSecond := func(bytes, processes int) float64 {
			return float64(bytes) / duration.Seconds() / float64(processes)
		}
		b := fleetBytes{perSecond(f.gatewayBytes, size.gateways), perSecond(f.pairBytes, fleetDomains), perSecond(f.fullPairBytes, fleetDomains)}
		t.Logf("%d gateways, %d workers: %.0f B/s a gateway, %.0f B/s a relay to the others, %.0f with full answers", size.gateways, size.workers, b.gateway, b.pair, b.fullPair)
		out = append(out, b)
	}
	return out
}

// Guards against an exchange that takes more than a process may use for control.
func TestExchangeStaysWithinControlBytes(t *testing.T) {
	for i, b := range playFleets(t) {
		assert.Check(t, b.gateway <= controlBytesPerSecond, "%d gateways: %.0f B/s", fleetSizes[i].gateways, b.gateway)
	}
}

// Guards against bytes of a gateway that grow with the number of gateways.
func TestExchangeDoesNotGrowWithGateways(t *testing.T) {
	all := playFleets(t)
	for i, b := range all {
		assert.Check(t, b.gateway <= all[0].gateway, "%d gateways: %.0f B/s, %d: %.0f B/s", fleetSizes[i].gateways, b.gateway, fleetSizes[0].gateways, all[0].gateway)
	}
}

// Guards against relays that repeat to each other what has not changed.
func TestRelaysSendAQuarterOfFullAnswers(t *testing.T) {
	for i, b := range playFleets(t) {
		assert.Check(t, 4*b.pair <= b.fullPair, "%d gateways: %.0f B/s, full answers take %.0f", fleetSizes[i].gateways, b.pair, b.fullPair)
	}
}
