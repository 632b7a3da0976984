package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/admin"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/platform"
)

// adminConnections bounds the open connections of operators.
const adminConnections = 64

// adminBackend gives the administration API what it needs of the entry.
type adminBackend struct{ d *entryDaemon }

// Snapshot implements admin.Backend.
func (b adminBackend) Snapshot() *manifest.Snapshot { return b.d.loop.Snapshot() }

// Status implements admin.Backend.
func (b adminBackend) Status(ctx context.Context) (api.Status, error) {
	status, err := b.d.loop.status(ctx)
	if err != nil {
		return status, err
	}
	b.d.control.addStatus(&status)
	b.d.addPlan(ctx, &status)
	status.Objectives = b.d.record.burn(ctx)
	return status, nil
}

// Committed implements admin.Backend. The manifest is in force here without
// waiting for the watch.
func (b adminBackend) Committed(offer api.ConfigOffer) { b.d.control.offer(offer) }

// resolveTimeout bounds the wait until a stated outcome is stored.
const resolveTimeout = 5 * time.Second

// EndClaim implements admin.Backend.
func (b adminBackend) EndClaim(ctx context.Context, end api.ClaimEndParams) error {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	return b.d.loop.endClaim(ctx, end)
}

// Audit implements admin.Backend.
func (b adminBackend) Audit(a admin.ClaimAudit) {
	observe.Part(b.d.log, "admin").Info("operator resolves a claim", zap.String("operator", a.Operator),
		zap.String("outcome", string(a.End.State)), zap.String("request", a.End.Request), zap.String("customer", a.End.Customer),
		zap.String("service", a.End.Service), zap.String("operation", a.End.Operation),
		zap.String("idempotency_key", a.End.IdempotencyKey), zap.String("result", a.Result))
	b.d.record.record(api.TraceRecord{
		At: int(time.Now().UnixMicro()), Event: api.TraceEventClaim, Request: a.End.Request, Customer: a.End.Customer,
		Service: a.End.Service, Operation: a.End.Operation, IdempotencyKey: a.End.IdempotencyKey,
		Reason: "operator " + a.Operator + " states " + string(a.End.State) + ": " + a.Result,
	})
}

// serveAdmin opens the administration API when settings name a listener.
func (d *entryDaemon) serveAdmin() error {
	s := d.settings
	if s.Listen.Admin == "" {
		return nil
	}
	var pair *api.TLSPair
	if s.TLS != nil {
		pair = s.TLS.Admin
	}
	listener, err := listen(s.Listen.Admin, adminConnections, pair)
	if err != nil {
		return err
	}
	d.admin = &http.Server{
		Handler: admin.NewHandler(admin.Options{
			Backend: adminBackend{d}, Store: d.store, BodyBytes: platform.MaxValueBytes,
		}),
		ReadHeaderTimeout: ms(s.Limits.ReadTimeoutMs), ReadTimeout: ms(s.Limits.ReadTimeoutMs), IdleTimeout: time.Minute,
		MaxHeaderBytes: s.Limits.HeaderBytes, ErrorLog: zap.NewStdLog(observe.Part(d.log, "admin")),
	}
	go d.serve(d.admin, listener)
	return nil
}

func (d *entryDaemon) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		d.log.Error("listener has failed", zap.String("address", listener.Addr().String()), zap.Error(err))
	}
}

// listen opens a listener with a bound on connections, with TLS when pair is set.
func listen(address string, connections int, pair *api.TLSPair) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listener %s cannot be opened", address)
	}
	listener = netutil.LimitListener(listener, connections)
	config, err := serverTLS(pair)
	if err != nil {
		return nil, err
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return listener, nil
}
