package news

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/peer"
)

// OwnReport is what a gateway states in an exchange: the loads that it causes and what it observed
// of the targets of rollouts.
type OwnReport struct {
	WorkerStats
	Evidence []EvidenceRecord
}

// PeerReport is what an exchange returns.
type PeerReport struct {
	// WorkerStats is what the other gateways state.
	WorkerStats
	// Gateways is the number of all gateways whose loads are exchanged.
	Gateways int
	// Evidence is the sum of the evidence of the other gateways by rollout.
	Evidence []EvidenceRecord
	// Next is the time until the next exchange.
	Next time.Duration
}

// serveLoads records what a gateway states and answers with what the others do. Another relay gets
// the loads of the gateways that report here.
func (r *Relay) serveLoads(link *peer.Link, call *peer.Call) {
	var p api.LoadsParams
	if err := call.Decode(&p); err != nil {
		call.Fail(err)
		return
	}
	own, err := decodeReport(p.Loads, p.Failures, p.Demand, p.Evidence)
	if err != nil {
		call.Fail(errkind.New(errkind.InvalidRequest, err.Error()))
		return
	}
	if p.Relay {
		call.Respond(r.answerRelay(int64(p.EvidenceSince)))
		return
	}
	answer := r.Exchange(link.Remote.Instance, own)
	result := api.LoadsResult{Loads: answer.Loads.Encode(), Failures: answer.Failures.Encode(), Demand: answer.Demand.Encode(), Gateways: answer.Gateways, Evidence: encodeEvidence(answer.Evidence)}
	result.NextMs = int(r.interval(&result).Milliseconds())
	call.Respond(result)
}

func decodeReport(loads, failures, demand string, evidence []api.RolloutEvidence) (OwnReport, error) {
	var out OwnReport
	var err error
	if out.Loads, err = DecodeLoads(loads); err != nil {
		return out, err
	}
	if out.Failures, err = DecodeLoads(failures); err != nil {
		return out, err
	}
	if out.Demand, err = DecodeLoads(demand); err != nil {
		return out, err
	}
	out.Evidence, err = decodeEvidence(evidence)
	return out, err
}

// interval returns the time until the gateway that gets an answer is to state its loads again.
func (r *Relay) interval(answer *api.LoadsResult) time.Duration {
	size := len(answer.Loads) + len(answer.Failures)
	for _, e := range answer.Evidence {
		size += len(e.Workers) + len(e.Kinds) + len(e.Baseline)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loads.Interval(size)
}

// answerRelay returns the loads of the gateways that report here, and the evidence that changed
// after a version.
func (r *Relay) answerRelay(evidenceSince int64) api.LoadsResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats, gateways := r.loads.OfGateways(r.clock())
	records, version := r.evidence.ChangedSince(evidenceSince)
	out := api.LoadsResult{Loads: stats.Loads.Encode(), Failures: stats.Failures.Encode(), Demand: stats.Demand.Encode(), Gateways: gateways, Evidence: encodeEvidence(records), EvidenceVersion: int(version)}
	out.NextMs = int(r.loads.Interval(len(out.Loads) + len(out.Failures)).Milliseconds())
	return out
}

// Exchange records what a gateway states, or this relay itself, and returns what the others do.
func (r *Relay) Exchange(instance string, own OwnReport) PeerReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	r.loads.Report(now, instance, own.WorkerStats)
	var out PeerReport
	out.WorkerStats, out.Gateways = r.loads.OthersOf(now, instance)
	for _, e := range own.Evidence {
		r.evidence.Merge(now, e)
		out.Evidence = append(out.Evidence, EvidenceRecord{Rollout: e.Rollout, Evidence: r.evidence.OthersOf(e.Rollout, e.Origin)})
	}
	out.Next = r.loads.Interval(0)
	return out
}

// FetchFromRelay records what the gateways state that report to another relay. It returns the time
// until it is to be fetched again.
func (r *Relay) FetchFromRelay(ctx context.Context, dialer LinkDialer, address string) (time.Duration, error) {
	r.mu.Lock()
	since := r.fetchedEvidence[address]
	r.mu.Unlock()
	got, version, err := callLoads(ctx, dialer, address, api.LoadsParams{Relay: true, EvidenceSince: int(since)})
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	r.loads.ReportRelay(now, address, got.WorkerStats, got.Gateways)
	for _, e := range got.Evidence {
		r.evidence.Merge(now, e)
	}
	r.fetchedEvidence[address] = version
	return got.Next, nil
}

// ExchangeWithRelay states what a gateway knows to a relay and returns what the others do.
func ExchangeWithRelay(ctx context.Context, dialer LinkDialer, address string, own OwnReport) (PeerReport, error) {
	got, _, err := callLoads(ctx, dialer, address, api.LoadsParams{
		Loads: own.Loads.Encode(), Failures: own.Failures.Encode(), Demand: own.Demand.Encode(), Evidence: encodeEvidence(own.Evidence),
	})
	return got, err
}

// callLoads returns the answer of a relay and the version of its evidence.
func callLoads(ctx context.Context, dialer LinkDialer, address string, params api.LoadsParams) (PeerReport, int64, error) {
	link, err := dialer.Link(ctx, address)
	if err != nil {
		return PeerReport{}, 0, err
	}
	var result api.LoadsResult
	if err := link.Call(ctx, peer.MethodLoads, params, &result); err != nil {
		return PeerReport{}, 0, eris.Wrapf(err, "relay %s does not answer with loads", address)
	}
	got, err := decodeReport(result.Loads, result.Failures, result.Demand, result.Evidence)
	next := time.Duration(result.NextMs) * time.Millisecond
	return PeerReport{got.WorkerStats, max(result.Gateways, 1), got.Evidence, next}, int64(result.EvidenceVersion), err
}
