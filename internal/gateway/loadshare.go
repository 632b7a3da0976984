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
	idleLoadInterval = time.Second
	// loadIntervalJitter spreads the exchanges of the gateways.
	loadIntervalJitter = 0.1
)

// startLoadExchange starts the goroutines that exchange the loads of the workers with other
// gateways: each gateway with its relay, and the relays among each other. Without relays, every
// gateway chooses workers by what it sees itself.
func (g *Gateway) startLoadExchange() {
	switch {
	case g.relayPeer == nil:
	case g.relayPeer.isRelay:
		g.goroutines.Go(func() { g.runLoadLoop(g.recordOwnLoads) })
		for _, address := range g.settings.Relays {
			if address != g.settings.PeerAddress {
				g.goroutines.Go(func() {
					g.runLoadLoop(func(ctx context.Context) time.Duration { return g.fetchLoads(ctx, address) })
				})
			}
		}
	default:
		g.goroutines.Go(func() { g.runLoadLoop(g.exchangeLoads) })
	}
}

// runLoadLoop calls step until the gateway stops, with the pause that step returns.
func (g *Gateway) runLoadLoop(step func(ctx context.Context) time.Duration) {
	for g.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(g.ctx, loadExchangeTimeout)
		pause := step(ctx)
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

// exchangeLoads states this gateway's loads to its relay and applies those of the others.
func (g *Gateway) exchangeLoads(ctx context.Context) time.Duration {
	relayed, ok := g.store.(*news.RelayedStore)
	if !ok {
		return loadRetryInterval
	}
	address := relayed.CurrentRelay()
	if address == "" {
		return loadRetryInterval
	}
	own := g.dispatcher.ownStats()
	got, err := news.ExchangeLoads(ctx, g.relayPeer.node, address, own)
	g.metrics.countLoadExchange(err == nil)
	if err != nil {
		g.logLoadFailure(address, err)
		return loadRetryInterval
	}
	g.loadFailure.Store(false)
	g.dispatcher.applyPeerLoads(sinceBoot(), got)
	if len(own.Loads) == 0 {
		return max(got.Next, idleLoadInterval)
	}
	return got.Next
}

// recordOwnLoads records the loads of this relay and applies those of the others.
func (g *Gateway) recordOwnLoads(context.Context) time.Duration {
	got := g.relayPeer.relay.ReportOwn(g.settings.Instance, g.dispatcher.ownStats())
	g.dispatcher.applyPeerLoads(sinceBoot(), got)
	return got.Next
}

// fetchLoads fetches the loads of the gateways that report to another relay.
func (g *Gateway) fetchLoads(ctx context.Context, address string) time.Duration {
	next, err := g.relayPeer.relay.FetchLoads(ctx, g.relayPeer.node, address)
	g.metrics.countLoadExchange(err == nil)
	if err != nil {
		g.logLoadFailure(address, err)
		return loadRetryInterval
	}
	g.loadFailure.Store(false)
	return next
}

// logLoadFailure logs the first of consecutive failures.
func (g *Gateway) logLoadFailure(address string, err error) {
	if g.ctx.Err() == nil && !g.loadFailure.Swap(true) {
		g.log.Info("loads are not exchanged with a relay", zap.String("relay", address), zap.Error(err))
	}
}

// ownStats returns the loads that this gateway causes and its recent failures, by worker.
func (d *dispatcher) ownStats() news.WorkerStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := news.NewWorkerStats()
	d.placer.OwnLoads(out.Loads.Add)
	d.placer.OwnFailures(sinceBoot(), out.Failures.Add)
	return out
}

// applyPeerLoads applies the loads that the other gateways cause, and their failures.
func (d *dispatcher) applyPeerLoads(now time.Duration, p news.PeerLoads) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.SetPeerLoads(now, p.Gateways, p.Loads.Requests)
	d.placer.SetPeerFailures(now, p.Failures.Requests)
}

// releaseWorker ends the request that pickWorker counted.
func (d *dispatcher) releaseWorker(f *forward.InFlight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f.End()
}

// recordFirstByte records that a worker's response began.
func (d *dispatcher) recordFirstByte(f *forward.InFlight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f.AnswerStarted(sinceBoot())
}
