package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/admin"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/platform"
)

// adminConnections bounds the open connections to the administration API.
const adminConnections = 64

// adminBackend implements admin.Backend for an entry.
type adminBackend struct{ d *entryDaemon }

// Snapshot implements admin.Backend.
func (b adminBackend) Snapshot() *manifest.Snapshot { return b.d.loop.Snapshot() }

// Status implements admin.Backend.
func (b adminBackend) Status(ctx context.Context) (api.Status, error) {
	status, err := b.d.loop.status(ctx)
	if err != nil {
		return status, err
	}
	b.d.exchange.addStatus(&status)
	b.d.addPlannedVersions(ctx, &status)
	status.Objectives = b.d.recorder.objectiveStatus(ctx)
	return status, nil
}

// ApplyManifest implements admin.Backend. It puts the manifest in force in this process at
// once, without waiting for the watch of the store.
func (b adminBackend) ApplyManifest(offer api.ConfigOffer) { b.d.exchange.offerConfig(offer) }

// resolveClaimTimeout bounds the wait until the outcome that an operator states for a
// claim is stored.
const resolveClaimTimeout = 5 * time.Second

// EndClaim implements admin.Backend.
func (b adminBackend) EndClaim(ctx context.Context, end api.ClaimEndParams) error {
	ctx, cancel := context.WithTimeout(ctx, resolveClaimTimeout)
	defer cancel()
	return b.d.loop.resolveClaim(ctx, end)
}

// Audit implements admin.Backend.
func (b adminBackend) Audit(a admin.ClaimAudit) {
	observe.ComponentLogger(b.d.log, "admin").Info("operator resolves a claim", zap.String("operator", a.Operator),
		zap.String("outcome", string(a.End.State)), zap.String("request", a.End.Request), zap.String("customer", a.End.Customer),
		zap.String("service", a.End.Service), zap.String("operation", a.End.Operation),
		zap.String("idempotency_key", a.End.IdempotencyKey), zap.String("result", a.Result))
	b.d.recorder.record(api.TraceRecord{
		At: int(time.Now().UnixMicro()), Event: api.TraceEventClaim, Request: a.End.Request, Customer: a.End.Customer,
		Service: a.End.Service, Operation: a.End.Operation, IdempotencyKey: a.End.IdempotencyKey,
		Reason: "operator " + a.Operator + " states " + string(a.End.State) + ": " + a.Result,
	})
}

// serveAdmin opens the administration API when the settings name a listener for it.
func (d *entryDaemon) serveAdmin() error {
	s := d.settings
	if s.Listen.Admin == "" {
		return nil
	}
	var pair *api.TLSPair
	if s.TLS != nil {
		pair = s.TLS.Admin
	}
	listener, err := d.listenHTTP(s.Listen.Admin, adminConnections, nil, pair)
	if err != nil {
		return err
	}
	d.adminServer = &http.Server{
		Handler: admin.NewHandler(admin.Options{
			Backend: adminBackend{d}, Store: d.store, MaxBodyBytes: platform.MaxValueBytes,
		}),
		ReadHeaderTimeout: ms(s.Limits.ReadTimeoutMs), ReadTimeout: ms(s.Limits.ReadTimeoutMs), IdleTimeout: idleTimeout,
		MaxHeaderBytes: s.Limits.HeaderBytes, ErrorLog: zap.NewStdLog(observe.ComponentLogger(d.log, "admin")),
	}
	go d.serveHTTP(d.adminServer, listener)
	return nil
}

// serveHTTP serves a listener until its server is closed.
func (d *entryDaemon) serveHTTP(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		d.log.Error("listener has failed and accepts no more connections", zap.String("address", listener.Addr().String()), zap.Error(err))
	}
}
