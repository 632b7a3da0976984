package news

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/peer"
)

// serveLoads records the loads that a gateway states and answers with those of the others.
// Another relay gets the loads of the gateways that report here.
func (r *Relay) serveLoads(link *peer.Link, call *peer.Call) {
	var p api.LoadsParams
	if err := call.Decode(&p); err != nil {
		call.Fail(err)
		return
	}
	stats, err := decodeStats(p.Loads, p.Failures)
	if err != nil {
		call.Fail(errkind.New(errkind.InvalidRequest, err.Error()))
		return
	}
	call.Respond(r.answerLoads(link.Remote.Instance, stats, p.Relay))
}

func decodeStats(loads, failures string) (WorkerStats, error) {
	var out WorkerStats
	var err error
	if out.Loads, err = DecodeLoads(loads); err != nil {
		return out, err
	}
	out.Failures, err = DecodeLoads(failures)
	return out, err
}

func (r *Relay) answerLoads(instance string, stats WorkerStats, toRelay bool) api.LoadsResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	var answer WorkerStats
	var gateways int
	if toRelay {
		answer, gateways = r.loads.OfGateways(now)
	} else {
		r.loads.Report(now, instance, stats)
		answer, gateways = r.loads.OthersOf(now, instance)
	}
	loads, failures := answer.Loads.Encode(), answer.Failures.Encode()
	interval := r.loads.Interval(len(loads) + len(failures))
	return api.LoadsResult{Loads: loads, Failures: failures, Gateways: gateways, NextMs: int(interval.Milliseconds())}
}

// PeerLoads is what an exchange of loads returns.
type PeerLoads struct {
	// WorkerStats is what the other gateways state.
	WorkerStats
	// Gateways is the number of all gateways whose loads are exchanged.
	Gateways int
	// Next is the time until the next exchange.
	Next time.Duration
}

// ReportOwn records what this relay states itself and returns what the others do.
func (r *Relay) ReportOwn(instance string, stats WorkerStats) PeerLoads {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	r.loads.Report(now, instance, stats)
	others, gateways := r.loads.OthersOf(now, instance)
	return PeerLoads{others, gateways, r.loads.Interval(0)}
}

// FetchLoads records the loads of the gateways that report to another relay. It returns the time
// until they are to be fetched again.
func (r *Relay) FetchLoads(ctx context.Context, dialer LinkDialer, address string) (time.Duration, error) {
	got, err := callLoads(ctx, dialer, address, api.LoadsParams{Relay: true})
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads.ReportRelay(r.clock(), address, got.WorkerStats, got.Gateways)
	return got.Next, nil
}

// ExchangeLoads states the stats of a gateway to a relay and returns those of the others.
func ExchangeLoads(ctx context.Context, dialer LinkDialer, address string, own WorkerStats) (PeerLoads, error) {
	return callLoads(ctx, dialer, address, api.LoadsParams{Loads: own.Loads.Encode(), Failures: own.Failures.Encode()})
}

func callLoads(ctx context.Context, dialer LinkDialer, address string, params api.LoadsParams) (PeerLoads, error) {
	link, err := dialer.Link(ctx, address)
	if err != nil {
		return PeerLoads{}, err
	}
	var result api.LoadsResult
	if err := link.Call(ctx, peer.MethodLoads, params, &result); err != nil {
		return PeerLoads{}, eris.Wrapf(err, "relay %s does not answer with loads", address)
	}
	stats, err := decodeStats(result.Loads, result.Failures)
	return PeerLoads{stats, max(result.Gateways, 1), time.Duration(result.NextMs) * time.Millisecond}, err
}
