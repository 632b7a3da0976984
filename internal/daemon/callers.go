package daemon

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/callerapi"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/intake"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/overload"
)

// idleTimeout is how long a caller may keep a connection without a request.
const idleTimeout = time.Minute

// memorySampleInterval is that of gateways, and turnedAwayTicks the number of samples between two lines of the log about
// callers that were turned away.
const (
	memorySampleInterval = 200 * time.Millisecond
	turnedAwayTicks      = 5
)

// memoryLimits returns the limits that follow from the memory of the process: that of the settings, or else that of the
// machine. Both are unknown where the system does not tell.
func memoryLimits(l *api.LimitSettings) overload.Limits {
	if l.MemoryMb > 0 {
		return overload.Limits{MemoryBytes: int64(l.MemoryMb) * 1e6}
	}
	var machine unix.Sysinfo_t
	if err := unix.Sysinfo(&machine); err != nil {
		return overload.Limits{}
	}
	return overload.Limits{MemoryBytes: int64(machine.Totalram) * int64(machine.Unit)} //nolint:gosec // below 8 EiB
}

// boundMemory sets the limit of the garbage collector.
func boundMemory(l *api.LimitSettings) {
	if limit := memoryLimits(l).SoftMemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

// callerMemory keeps what callers make an entry hold within its memory. It implements callerapi.Memory.
type callerMemory struct {
	open atomic.Int64 // connections of callers
	// unread are connections that were closed at once, givenUp those that made room for them, and heads those with a
	// head that was refused.
	unread, givenUp, heads atomic.Int64
	log                    *zap.Logger

	mu    sync.Mutex
	guard *overload.Guard
}

func newCallerMemory(l *api.LimitSettings, log *zap.Logger) *callerMemory {
	return &callerMemory{guard: overload.NewGuard(memoryLimits(l)), log: log}
}

// Admit implements callerapi.Memory.
func (m *callerMemory) Admit(r overload.Request) (callerapi.Reservation, *errkind.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	verdict := m.guard.Admit(0, r)
	if verdict.Reason != overload.Admitted {
		return nil, errkind.New(errkind.Overloaded, "instance is at the limit of its "+string(verdict.Reason)).WithRetryAfter(verdict.RetryAfter)
	}
	return &requestMemory{m, r}, nil
}

// requestMemory implements callerapi.Reservation.
type requestMemory struct {
	memory  *callerMemory
	request overload.Request
}

func (r *requestMemory) Extend(n int) bool {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	var ok bool
	r.request, ok = r.memory.guard.Extend(r.request, int64(n))
	return ok
}

func (r *requestMemory) Release() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.guard.Release(r.request)
}

func (m *callerMemory) accept(open int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.guard.AcceptCaller(open)
}

func (m *callerMemory) resizeHead(from, to int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.guard.ResizeHead(from, to)
}

// sample measures the process until ctx ends. links returns the number of links that other daemons have opened.
func (m *callerMemory) sample(ctx context.Context, links func() int) {
	ticker := time.NewTicker(memorySampleInterval)
	defer ticker.Stop()
	logged := int64(0)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if turnedAway := m.unread.Load() + m.givenUp.Load() + m.heads.Load(); n%turnedAwayTicks == 0 && turnedAway > logged {
			logged = turnedAway
			m.log.Warn("callers are turned away before their requests are read", zap.Int64("closed_unread", m.unread.Load()),
				zap.Int64("given_up", m.givenUp.Load()), zap.Int64("refused_heads", m.heads.Load()), zap.Int64("callers", m.open.Load()))
		}
		s := overload.Sample{Callers: int(m.open.Load()), Links: links(), MemoryBytes: observe.UsedMemory()}
		m.mu.Lock()
		m.guard.Observe(0, s)
		m.mu.Unlock()
	}
}

// listenHTTP opens a listener that passes on requests once their heads are whole. It takes at most the given number of
// connections, and no more than accept allows unless it is nil. It uses TLS if pair is set.
func (d *entryDaemon) listenHTTP(address string, connections int, accept func(open int) bool, pair *api.TLSPair) (*intake.Listener, error) {
	l := d.settings.Limits
	tlsConfig, err := serverTLS(pair)
	if err != nil {
		return nil, err
	}
	bounds := memoryLimits(l)
	plain, err := intake.ListenConfig(bounds.CallerReceiveBufferBytes()).Listen(d.ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listener %s cannot be opened", address)
	}
	limits := intake.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: ms(l.ReadTimeoutMs), IdleTimeout: idleTimeout}
	return intake.NewListener(plain, intake.Options{
		MaxConnections: connections, TLS: tlsConfig, SendBuffer: bounds.SendBufferBytes(), WriteStall: ms(l.WriteTimeoutMs),
		Limits: func() intake.Limits { return limits }, Accept: accept, ResizeHead: d.memory.resizeHead,
		OnOpen: func() { d.memory.open.Add(1) }, OnClose: func() { d.memory.open.Add(-1) },
		OnFull: func() { d.memory.unread.Add(1) }, OnGiveUp: func(overload.Phase) { d.memory.givenUp.Add(1) },
		OnRefuse: func(*errkind.Error) { d.memory.heads.Add(1) },
	}), nil
}
