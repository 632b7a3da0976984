package news

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/quarantine"
)

// OwnReport is what a gateway states in an exchange: the loads that it causes and what it observed
// of the targets of rollouts.
type OwnReport struct {
	WorkerStats
	Evidence []EvidenceRecord
	// Now is the time of the report on the clock of its records.
	Now Elapsed
	// Quarantine holds the records up to version QuarantineSent that the relay may lack, and
	// QuarantineRead is the version of the relay's records up to which the gateway has read.
	Quarantine                     []quarantine.Record
	QuarantineSent, QuarantineRead int64
	// Run identifies the run of the gateway. A new run has none of the records that came from an
	// earlier one.
	Run int64
}

// PeerReport is what an exchange returns.
type PeerReport struct {
	// WorkerStats is what the other gateways state.
	WorkerStats
	// Gateways is the number of all gateways whose loads are exchanged.
	Gateways int
	// Evidence is the sum of the evidence of the other gateways by rollout.
	Evidence []EvidenceRecord
	// Quarantine holds the records of the relay that the gateway has not read, up to the version
	// QuarantineRead. QuarantineRun identifies the run of the relay.
	Quarantine                    []quarantine.Record
	QuarantineRead, QuarantineRun int64
	// Next is the time until the next exchange.
	Next time.Duration
	// FailureDomain is that of the relay that answered, and source its run.
	FailureDomain string
	source        quarantine.Source
	// evidenceVersion is the version of the evidence of the relay.
	evidenceVersion int64
}

// serveLoads records what a gateway states and answers with what the others do. Another relay gets
// the loads of the gateways that report here.
func (r *Relay) serveLoads(link *peer.Link, call *peer.Call) {
	var p api.LoadsParams
	if err := call.Decode(&p); err != nil {
		call.Fail(err)
		return
	}
	result, err := r.answerLoads(&link.Remote, &p)
	if err != nil {
		call.Fail(errkind.New(errkind.InvalidRequest, err.Error()))
		return
	}
	call.Respond(r.packer.pack(&result, p.ReadsPacked))
}

// answerLoads returns the answer to a gateway or to another relay.
func (r *Relay) answerLoads(remote *api.Member, p *api.LoadsParams) (api.LoadsResult, error) {
	own, err := decodeReport(p.Loads, p.Failures, p.Demand, p.Evidence)
	if err != nil {
		return api.LoadsResult{}, err
	}
	if own.Quarantine, err = decodeQuarantine(r.clock(), p.Quarantine); err != nil {
		return api.LoadsResult{}, err
	}
	if p.Relay {
		return r.answerRelay(sourceOfMember(remote), int64(p.EvidenceSince), int64(p.QuarantineSince)), nil
	}
	own.QuarantineRead, own.Run = int64(p.QuarantineSince), int64(remote.Incarnation)
	answer := r.Exchange(remote.Instance, own)
	result := api.LoadsResult{
		Loads: answer.Loads.Encode(), Failures: answer.Failures.Encode(), Demand: answer.Demand.Encode(), Gateways: answer.Gateways, Evidence: encodeEvidence(answer.Evidence),
		Quarantine: encodeQuarantine(r.clock(), answer.Quarantine), QuarantineVersion: int(answer.QuarantineRead), QuarantineRun: int(answer.QuarantineRun),
	}
	result.NextMs = int(r.interval(&result).Milliseconds())
	return result, nil
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

// answerRelay returns the loads of the gateways that report here, and the evidence and the records of
// the quarantine that changed after two versions.
func (r *Relay) answerRelay(reader quarantine.Source, evidenceSince, quarantineSince int64) api.LoadsResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats, gateways := r.loads.OfGateways(r.clock())
	records, version := r.evidence.ChangedSince(evidenceSince, reader)
	out := api.LoadsResult{Loads: stats.Loads.Encode(), Failures: stats.Failures.Encode(), Demand: stats.Demand.Encode(), Gateways: gateways, Evidence: encodeEvidence(records), EvidenceVersion: int(version)}
	quarantined, quarantineVersion := r.quarantine.ChangedSince(quarantineSince, MaxQuarantineRecords, reader)
	out.Quarantine, out.QuarantineVersion, out.QuarantineRun = encodeQuarantine(r.clock(), quarantined), int(quarantineVersion), int(r.quarantineRun)
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
	source := sourceOf(instance, own.Run)
	for _, e := range own.Evidence {
		r.evidence.Merge(now, source, e)
		out.Evidence = append(out.Evidence, EvidenceRecord{Rollout: e.Rollout, Evidence: r.evidence.OthersOf(e.Rollout, e.Origin)})
	}
	r.mergeQuarantine(now, source, own.Quarantine)
	out.Quarantine, out.QuarantineRead = r.quarantine.ChangedSince(own.QuarantineRead, MaxQuarantineRecords, source)
	out.QuarantineRun = r.quarantineRun
	out.Next = r.loads.Interval(0)
	return out
}

// FetchFromRelay records what the gateways state that report to another relay. It returns the time
// until it is to be fetched again.
func (r *Relay) FetchFromRelay(ctx context.Context, dialer LinkDialer, address string) (time.Duration, error) {
	got, err := callLoads(ctx, dialer, address, r.clock(), r.fetchParams(address))
	if err != nil {
		return 0, err
	}
	r.applyFetched(address, &got)
	return got.Next, nil
}

// fetchParams returns the request to another relay.
func (r *Relay) fetchParams(address string) api.LoadsParams {
	r.mu.Lock()
	defer r.mu.Unlock()
	return api.LoadsParams{Relay: true, EvidenceSince: int(r.fetchedEvidence[address]), QuarantineSince: int(r.fetchedQuarantine[address]), ReadsPacked: true}
}

// applyFetched records the answer of another relay.
func (r *Relay) applyFetched(address string, got *PeerReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	r.loads.ReportRelay(now, address, got.WorkerStats, got.Gateways)
	for _, e := range got.Evidence {
		r.evidence.Merge(now, got.source, e)
	}
	r.fetchedEvidence[address] = got.evidenceVersion
	r.mergeQuarantine(now, got.source, got.Quarantine)
	r.fetchedQuarantine[address] = got.QuarantineRead
}

// ExchangeWithRelay states what a gateway knows to a relay and returns what the others do.
func ExchangeWithRelay(ctx context.Context, dialer LinkDialer, address string, own OwnReport) (PeerReport, error) {
	return callLoads(ctx, dialer, address, own.Now, own.params())
}

// params returns the request that states the report.
func (o *OwnReport) params() api.LoadsParams {
	return api.LoadsParams{
		Loads: o.Loads.Encode(), Failures: o.Failures.Encode(), Demand: o.Demand.Encode(), Evidence: encodeEvidence(o.Evidence),
		Quarantine: encodeQuarantine(o.Now, o.Quarantine), QuarantineSince: int(o.QuarantineRead), ReadsPacked: true,
	}
}

// callLoads calls a relay at time now and returns its answer.
func callLoads(ctx context.Context, dialer LinkDialer, address string, now Elapsed, params api.LoadsParams) (PeerReport, error) {
	link, err := dialer.Link(ctx, address)
	if err != nil {
		return PeerReport{}, err
	}
	var result api.LoadsResult
	if err := link.Call(ctx, peer.MethodLoads, params, &result); err != nil {
		if params.Relay && ctx.Err() != nil {
			link.Close() // the connection may have gone silent for good, and nothing else uses it
		}
		return PeerReport{}, eris.Wrapf(err, "relay %s does not answer with loads", address)
	}
	return readAnswer(now, &link.Remote, &result)
}

// readAnswer decodes the answer of a relay.
func readAnswer(now Elapsed, relay *api.Member, packed *api.LoadsResult) (PeerReport, error) {
	result, err := unpack(packed)
	if err != nil {
		return PeerReport{}, err
	}
	got, err := decodeReport(result.Loads, result.Failures, result.Demand, result.Evidence)
	if err != nil {
		return PeerReport{}, err
	}
	quarantined, err := decodeQuarantine(now, result.Quarantine)
	return PeerReport{
		WorkerStats: got.WorkerStats, Gateways: max(result.Gateways, 1), Evidence: got.Evidence, Next: time.Duration(result.NextMs) * time.Millisecond,
		Quarantine: quarantined, QuarantineRead: int64(result.QuarantineVersion), QuarantineRun: int64(result.QuarantineRun),
		FailureDomain: relay.FailureDomain, source: sourceOfMember(relay), evidenceVersion: int64(result.EvidenceVersion),
	}, err
}
