package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/news"
)

const (
	// loadExchangeTimeout bounds one exchange of loads. Later answers are of no use.
	loadExchangeTimeout = 400 * time.Millisecond
	// loadRetryInterval is the pause after a failed exchange.
	loadRetryInterval = time.Second
	// idleLoadInterval is the pause between two exchanges of a gateway that has no requests.
	idleLoadInterval = 500 * time.Millisecond
	// loadIntervalJitter spreads the exchanges of the gateways.
	loadIntervalJitter = 0.1
)

// startPeerExchange starts the goroutines that exchange with other gateways what each knows of the
// workers: each gateway with its relay, and the relays among each other. Without relays, every
// gateway goes by what it sees itself.
func (g *Gateway) startPeerExchange() {
	switch {
	case g.relayPeer == nil:
	case g.relayPeer.isRelay:
		g.goroutines.Go(func() { g.runExchangeLoop(g.recordOwnReport) })
		for _, address := range g.settings.Relays {
			if address != g.settings.PeerAddress {
				g.goroutines.Go(func() {
					g.runExchangeLoop(func(ctx context.Context) time.Duration { return g.fetchFromRelay(ctx, address) })
				})
			}
		}
	default:
		g.goroutines.Go(func() { g.runExchangeLoop(g.exchangeWithRelay) })
	}
}

// runExchangeLoop calls step until the gateway stops, with the pause that step returns.
func (g *Gateway) runExchangeLoop(step func(ctx context.Context) time.Duration) {
	for g.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(g.ctx, loadExchangeTimeout)
		pause := loadRetryInterval
		g.protect("exchange", func() { pause = step(ctx) })
		cancel()
		jitter := 1 + loadIntervalJitter*(2*rand.Float64()-1) //nolint:gosec // spreads timers
		timer := time.NewTimer(time.Duration(float64(pause) * jitter))
		select {
		case <-g.ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// exchangeWithRelay states what this gateway knows to its relay and applies what the others know.
func (g *Gateway) exchangeWithRelay(ctx context.Context) time.Duration {
	relays := g.relayPeer.exchangeRelays
	address := relays.Next()
	own := g.ownReport(address)
	got, err := news.ExchangeWithRelay(ctx, g.relayPeer.node, address, own)
	g.metrics.countLoadExchange(err == nil)
	if err != nil {
		g.logExchangeFailure(address, err)
		relays.BackOff(address, err)
		if relays.Current() != "" {
			return 0 // another relay is asked at once
		}
		return loadRetryInterval
	}
	g.loadFailure.Store(false)
	relays.SetDomain(address, got.FailureDomain)
	g.applyPeerReport(address, own.QuarantineSent, got)
	if len(own.Demand) == 0 && len(own.Evidence) == 0 {
		return max(got.Next, idleLoadInterval)
	}
	return got.Next
}

// recordOwnReport records what this relay knows itself and applies what the others know.
func (g *Gateway) recordOwnReport(context.Context) time.Duration {
	own := g.ownReport(g.settings.PeerAddress)
	got := g.relayPeer.relay.Exchange(g.settings.Instance, own)
	g.applyPeerReport(g.settings.PeerAddress, own.QuarantineSent, got)
	return got.Next
}

// ownReport returns what this gateway states to the relay at an address.
func (g *Gateway) ownReport(address string) news.OwnReport {
	own := g.dispatcher.ownReport(g.origin)
	own.Now = sinceBoot()
	own.Quarantine, own.QuarantineSent, own.QuarantineRead = g.quarantine.changesFor(address)
	return own
}

// applyPeerReport applies the answer of the relay at an address. sent is the version up to which its
// request held the records of the quarantine.
func (g *Gateway) applyPeerReport(address string, sent int64, got news.PeerReport) {
	g.dispatcher.applyPeerReport(sinceBoot(), got)
	g.quarantine.applyPeerReport(address, sent, got)
}

// fetchFromRelay fetches what the gateways know that report to another relay.
func (g *Gateway) fetchFromRelay(ctx context.Context, address string) time.Duration {
	next, err := g.relayPeer.relay.FetchFromRelay(ctx, g.relayPeer.node, address)
	g.metrics.countLoadExchange(err == nil)
	if err != nil {
		g.logExchangeFailure(address, err)
		return loadRetryInterval
	}
	g.loadFailure.Store(false)
	return next
}

// logExchangeFailure logs the first of consecutive failures.
func (g *Gateway) logExchangeFailure(address string, err error) {
	if g.ctx.Err() == nil && !g.loadFailure.Swap(true) {
		g.log.Info("loads and evidence are not exchanged with a relay", zap.String("relay", address), zap.Error(err))
	}
}

// ownReport returns what this gateway knows: its requests a second by service, the loads that it
// causes and its recent failures by worker, and its evidence on the rollouts in progress.
func (d *dispatcher) ownReport(origin string) news.OwnReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := news.OwnReport{WorkerStats: news.NewWorkerStats(), Evidence: d.rollouts.ownEvidence(origin)}
	d.placer.OwnDemand(sinceBoot(), out.Demand.Add)
	if d.exchangesLoads {
		d.placer.OwnLoads(out.Loads.Add)
		d.placer.OwnFailures(sinceBoot(), out.Failures.Add)
	}
	return out
}

// applyPeerReport applies what the other gateways know.
func (d *dispatcher) applyPeerReport(now time.Duration, p news.PeerReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.exchangesLoads {
		d.placer.SetPeerLoads(now, p.Gateways, p.Loads.Requests)
		d.placer.SetPeerFailures(now, p.Failures.Requests)
	}
	d.placer.SetPeerDemand(now, p.Gateways, p.Demand.Requests)
	d.rollouts.mergeEvidence(p.Evidence, d.log)
}

// releaseWorker ends the request that pickWorker counted.
func (d *dispatcher) releaseWorker(f *forward.InFlight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f.End()
}

// recordFirstByte records that a worker's response began, and whether it is a refusal or a failure.
func (d *dispatcher) recordFirstByte(f *forward.InFlight, isRefusal bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if isRefusal {
		f.RefusalStarted(sinceBoot())
		return
	}
	f.AnswerStarted(sinceBoot())
}
