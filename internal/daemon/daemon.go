package daemon

import (
	"context"
	"crypto/tls"
	"sync"
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

// stopMargin is added to the drain time for the rest of a graceful stop.
const stopMargin = 10 * time.Second

// New returns the application of one daemon. Stopping it drains the process.
func New(s api.Settings, log *zap.Logger) *fx.App {
	role := entryModule
	if s.Role == api.RoleSidecar {
		role = sidecarModule
	}
	return fx.New(
		fx.Supply(s, log),
		fx.WithLogger(func() fxevent.Logger { return &fxevent.ZapLogger{Logger: quietFx(log)} }),
		fx.Provide(newCommon, newStore),
		fx.StopTimeout(ms(s.Timing.BalancerWaitMs+s.Timing.DrainMs)+stopMargin),
		role,
	)
}

// quietFx shows only the errors of the dependency container.
func quietFx(log *zap.Logger) *zap.Logger {
	return observe.Part(log, "fx").WithOptions(zap.IncreaseLevel(zap.ErrorLevel))
}

// common is what both roles share.
type common struct {
	settings api.Settings
	self     api.Member
	log      *zap.Logger
	beat     *observe.Heartbeat
	metrics  *metrics.Set
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

func newCommon(s api.Settings, log *zap.Logger) *common {
	ctx, cancel := context.WithCancel(context.Background())
	c := &common{settings: s, log: log, beat: &observe.Heartbeat{}, metrics: metrics.NewSet(), ctx: ctx, cancel: cancel}
	c.self = api.Member{
		Instance: s.Instance, Incarnation: int(time.Now().UnixNano()), Role: string(s.Role),
		FailureDomain: s.FailureDomain, Region: s.Region, Address: s.Advertise, State: api.MemberStateBooting,
	}
	if s.Backend != nil {
		c.self.BackendServer, c.self.Service, c.self.Pool = s.Backend.Name, s.Backend.Service, s.Backend.Pool
	}
	return c
}

// duty runs f in a goroutine that ends with the process.
func (c *common) duty(f func(context.Context)) {
	c.group.Go(func() { f(c.ctx) })
}

// stop ends every duty.
func (c *common) stop() {
	c.cancel()
	c.group.Wait()
}

func (c *common) alive() bool {
	return c.beat.Fresh(time.Now(), ms(c.settings.Timing.AliveMs))
}

func newStore(s api.Settings) (platform.Store, error) { return platform.NewClient(s.Platform) }

// newNode returns the peer node with mutual TLS when settings name certificates.
func (c *common) newNode(handler peer.Handler, local func() api.Hello) (*peer.Node, error) {
	o := peer.Options{Handler: handler, Local: local}
	if t := c.settings.TLS; t != nil && t.Peers != nil {
		server, client, err := tlsconf.Peers(*t.Peers)
		if err != nil {
			return nil, err
		}
		o.ServerTLS, o.ClientTLS = server, client
	}
	return peer.NewNode(o), nil
}

// listenPeers opens the peer listener. An empty advertised address becomes the
// bound one.
func (c *common) listenPeers(node *peer.Node) error {
	address, err := node.Listen(c.settings.Listen.Peer)
	if err != nil {
		return err
	}
	if c.self.Address == "" {
		c.self.Address = address
	}
	return nil
}

func (c *common) startHealth(ready observe.Readiness) (*observe.HealthServer, error) {
	return observe.StartHealth(observe.HealthOptions{
		Address: c.settings.Listen.Health, Heartbeat: c.beat, Stale: ms(c.settings.Timing.AliveMs),
		Ready: ready, Metrics: c.metrics,
	})
}

func serverTLS(pair *api.TLSPair) (*tls.Config, error) {
	if pair == nil {
		return nil, nil
	}
	return tlsconf.Server(*pair)
}

// wait returns when done is closed, or when limit or ctx ends.
func wait(ctx context.Context, done <-chan struct{}, limit time.Duration) bool {
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
