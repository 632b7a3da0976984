package daemon

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/tlsconf"
)

// stopMargin is added to the balancer wait and the drain time for the rest of a graceful
// stop.
const stopMargin = 10 * time.Second

// New returns the application for the role in s, an entry or a sidecar. Stopping the
// application drains the process. Settings must have their defaults filled in.
func New(s api.Settings, log *zap.Logger) *fx.App {
	role := entryModule
	if s.Role == api.RoleSidecar {
		role = sidecarModule
	}
	boundMemory(s.Limits)
	return fx.New(
		fx.Supply(s, log),
		fx.WithLogger(func() fxevent.Logger { return &fxevent.ZapLogger{Logger: fxErrorLogger(log)} }),
		fx.Provide(newBase, newStore),
		fx.StopTimeout(ms(s.Timing.BalancerWaitMs+s.Timing.DrainMs)+stopMargin),
		role,
	)
}

// fxErrorLogger returns a logger that passes only the errors of the dependency container.
func fxErrorLogger(log *zap.Logger) *zap.Logger {
	return observe.ComponentLogger(log, "fx").WithOptions(zap.IncreaseLevel(zap.ErrorLevel))
}

// base holds what both roles share: settings, the member record at start, the heartbeat of
// the main loop, and the background goroutines.
type base struct {
	settings   api.Settings
	self       api.Member
	log        *zap.Logger
	heartbeat  *observe.Heartbeat
	metrics    *metrics.Set
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

func newBase(s api.Settings, log *zap.Logger) *base {
	ctx, cancel := context.WithCancel(context.Background())
	b := &base{settings: s, log: log, heartbeat: &observe.Heartbeat{}, metrics: metrics.NewSet(), ctx: ctx, cancel: cancel}
	b.self = api.Member{
		Instance: s.Instance, Incarnation: int(time.Now().UnixNano()), Role: string(s.Role),
		FailureDomain: s.FailureDomain, Region: s.Region, Address: s.Advertise, State: api.MemberStateBooting,
	}
	if s.Backend != nil {
		b.self.BackendServer, b.self.Service, b.self.Pool = s.Backend.Name, s.Backend.Service, s.Backend.Pool
	}
	return b
}

// runInBackground runs f in a goroutine. stopBackground cancels its context and waits for
// its end.
func (b *base) runInBackground(f func(context.Context)) {
	b.goroutines.Go(func() { f(b.ctx) })
}

// stopBackground cancels all background goroutines and waits until they have ended.
func (b *base) stopBackground() {
	b.cancel()
	b.goroutines.Wait()
}

// isMainLoopAlive reports whether the heartbeat of the main loop is recent.
func (b *base) isMainLoopAlive() bool {
	return b.heartbeat.IsFresh(time.Now(), ms(b.settings.Timing.AliveMs))
}

// newStore returns the client of the platform. It logs lists with an unreadable element, and again when another
// element is the first one: lists are read every few seconds.
func newStore(s api.Settings, log *zap.Logger) (platform.Store, error) {
	c, err := platform.NewClient(s.Platform)
	if err != nil {
		return nil, err
	}
	var last atomic.Pointer[string]
	c.OnUnreadable = func(err error) {
		text := err.Error()
		if previous := last.Swap(&text); previous == nil || *previous != text {
			observe.ComponentLogger(log, "platform").Warn("a list of the platform has an element that cannot be read", zap.Error(err))
		}
	}
	return c, nil
}

// newNode returns the peer node. It uses mutual TLS when the settings name certificates.
func (b *base) newNode(handler peer.Handler, local func() api.Hello) (*peer.Node, error) {
	o := peer.Options{Handler: handler, Local: local, OnPanic: func(method string, value any) {
		observe.ComponentLogger(b.log, "peer").Error("message of a peer cannot be handled and is ignored", zap.String("method", method), zap.Any("panic", value), zap.Stack("stack"))
	}}
	o.Bounds = memoryLimits(b.settings.Limits).Peers()
	o.Bounds.MessageRate = 0 // runs and their answers are messages too
	if t := b.settings.TLS; t != nil && t.Peers != nil {
		server, client, err := tlsconf.PeerConfigs(*t.Peers)
		if err != nil {
			return nil, err
		}
		o.ServerTLS, o.ClientTLS = server, client
	}
	return peer.NewNode(o), nil
}

// listenPeers opens the peer listener. Without an advertised address, the address that
// the listener is bound to is advertised.
func (b *base) listenPeers(node *peer.Node) error {
	address, err := node.Listen(b.settings.Listen.Peer)
	if err != nil {
		return err
	}
	if b.self.Address == "" {
		b.self.Address = address
	}
	return nil
}

// startHealth starts the server of the health and metrics routes.
func (b *base) startHealth(ready observe.ReadinessFunc) (*observe.HealthServer, error) {
	return observe.StartHealth(observe.HealthOptions{
		Address: b.settings.Listen.Health, Heartbeat: b.heartbeat, StaleAfter: ms(b.settings.Timing.AliveMs),
		Readiness: ready, Metrics: b.metrics,
	})
}

// serverTLS returns the TLS configuration of a listener, nil when pair is nil.
func serverTLS(pair *api.TLSPair) (*tls.Config, error) {
	if pair == nil {
		return nil, nil
	}
	return tlsconf.ServerConfig(*pair)
}

// waitOrTimeout returns true when done is closed, and false after limit or when ctx ends
// first. With a nil channel it sleeps for limit.
func waitOrTimeout(ctx context.Context, done <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
