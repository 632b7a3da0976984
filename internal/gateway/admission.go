package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/admission"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/limits"
)

const (
	// roomMaxAge is how long the known room of a service is used. Workers take that long for some steps.
	roomMaxAge = 10 * time.Millisecond
	// admissionInterval is how often waiting requests are looked at while no request ends.
	admissionInterval = 20 * time.Millisecond
)

// admissionGuard holds the requests that wait for room at the workers, if the settings ask for it.
type admissionGuard struct {
	dispatcher *dispatcher
	metrics    *gatewayMetrics
	log        *zap.Logger
	// wake starts the duty that looks at waiting requests.
	wake chan struct{}

	mu       sync.Mutex
	services map[string]*admittedService
}

// admittedService is the queue of a service and the requests that wait in it, by their IDs.
type admittedService struct {
	queue   *admission.Queue
	waiters map[string]chan admission.Decision
}

// admissionTicket is a request that was let in. It is returned when the answer begins or the attempt ends.
// The zero value stands for none.
type admissionTicket struct {
	service, id string
}

func newAdmissionGuard(d *dispatcher, m *gatewayMetrics, log *zap.Logger) *admissionGuard {
	g := &admissionGuard{dispatcher: d, metrics: m, log: log, wake: make(chan struct{}, 1), services: map[string]*admittedService{}}
	m.set.NewGauge("borageflow_gateway_admission_waiting", func() float64 { return float64(g.waiting()) })
	return g
}

// waiting returns the number of requests that wait.
func (g *admissionGuard) waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, s := range g.services {
		n += len(s.waiters)
	}
	return n
}

// serviceFor returns the queue of a service with its present room, or nil if requests for the service are
// not held back: the settings do not ask for it, or nothing is known of the room, as when no worker may get
// requests. Those that wait are then let go. The caller holds the lock.
func (g *admissionGuard) serviceFor(now time.Time, service string) *admittedService {
	s := g.services[service]
	if s != nil && now.Sub(s.queue.RoomAt()) < roomMaxAge {
		return s
	}
	outlook := g.dispatcher.outlook(forward.WorkerQuery{Service: service})
	if !outlook.HasWait {
		if s != nil {
			s.letAllGo(now)
		}
		return nil
	}
	if s == nil {
		s = &admittedService{queue: admission.NewQueue(g.dispatcher.randomFloat), waiters: map[string]chan admission.Decision{}}
		g.services[service] = s
	}
	s.queue.SetRoom(roomOf(now, outlook))
	return s
}

// roomOf returns the room that an outlook states. The mean load counts, because the worker with the cached
// prompt, not the best one, gets most requests, and other gateways fill the best one too.
func roomOf(now time.Time, o forward.Outlook) admission.Room {
	perRequest := time.Duration(float64(o.Wait) / max(o.Load+o.Work, 1))
	return admission.Room{At: now, Wait: time.Duration(o.MeanLoad * float64(perRequest)), PerRequest: perRequest, Workers: o.Eligible, Share: o.Share, OthersAt: time.Unix(0, int64(o.PeersAt))}
}

// outlook returns the room of a service, without a wait if requests are not held back.
func (d *dispatcher) outlook(q forward.WorkerQuery) forward.Outlook {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.settings.Load().Admission {
		return forward.Outlook{}
	}
	return d.placer.Outlook(sinceBoot(), q)
}

// hasSpareRoom reports whether the workers have room for repeats of overdue requests, which yield to first
// answers: none of these waits.
func (g *admissionGuard) hasSpareRoom(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil {
		return true
	}
	return s.queue.Len() == 0
}

// mayEscalate reports whether a larger model may be asked: no first answer waits, or the workers of the larger
// models have room all the same.
func (r *request) mayEscalate() bool {
	g := r.gateway.admission
	if g.hasSpareRoom(r.service) {
		return true
	}
	o := g.dispatcher.outlook(forward.WorkerQuery{Service: r.service, Heavy: true})
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[r.service]
	return s == nil || s.queue.HasSpareRoom(limits.MaxClass-r.urgency, roomOf(time.Now(), o).Wait)
}

// admit waits until the request may be sent, and returns its ticket. It returns the refusal if the request is not
// sent, also because its caller has left or its time is over. A stream of which the caller has a part, and a request for a larger model, are always sent.
func (r *request) admit(ctx context.Context) (admissionTicket, *errkind.Error) {
	r.departure.check()
	if ctx.Err() != nil {
		return admissionTicket{}, r.notSentAgain(errkind.New(errkind.Overloaded, "request ended before it was sent").WithRetryAfter(defaultRetryAfter))
	}
	if r.headerSent || r.modelIndex > 0 {
		return admissionTicket{}, nil
	}
	s, d, admitted := r.arrive(time.Now())
	if s == nil {
		return admissionTicket{}, nil
	}
	if d.Action == admission.Wait {
		r.gateway.admission.wakeUp()
		var left *errkind.Error
		if d, left = r.awaitRoom(ctx, s, d, admitted); left != nil {
			return admissionTicket{}, left
		}
	}
	return r.applyDecision(d)
}

// arrive returns the queue of the service, the decision about the request and, if it waits, the channel of the
// decision that follows. The queue is nil if requests are not held back.
func (r *request) arrive(now time.Time) (*admittedService, admission.Decision, chan admission.Decision) {
	g := r.gateway.admission
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.serviceFor(now, r.service)
	if s == nil {
		return nil, admission.Decision{}, nil
	}
	d := s.queue.Arrive(now, r.admissionRequest())
	r.urgency = limits.MaxClass - d.Class
	var admitted chan admission.Decision
	if d.Action == admission.Wait {
		admitted = make(chan admission.Decision, 1)
		s.waiters[d.ID] = admitted
	}
	s.deliverRefused(now)
	return s, d, admitted
}

// admissionRequest returns what the decision about the request needs.
func (r *request) admissionRequest() admission.Request {
	return admission.Request{
		Customer: r.customer.Name, Kind: r.route.Name, Priority: forward.Priority(r.route, r.customer), KindPriority: r.route.Priority, Work: r.gateway.dispatcher.promptWork(r.inbound.meta.Prompt),
		Arrived: r.started, Target: r.route.LatencyTarget, TimeLimit: r.deadline.Sub(r.started), IsRepeat: r.mayHaveRun,
	}
}

// promptWork returns the work until the answer to a prompt begins, in requests.
func (d *dispatcher) promptWork(prompt []forward.PromptPart) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.PromptWork(prompt)
}

// awaitRoom waits for the decision about a request in the queue. A caller that leaves is dropped from it.
func (r *request) awaitRoom(ctx context.Context, s *admittedService, d admission.Decision, admitted chan admission.Decision) (admission.Decision, *errkind.Error) {
	select {
	case d = <-admitted:
		return d, nil
	case <-ctx.Done():
	}
	g := r.gateway.admission
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(s.waiters, d.ID)
	s.queue.Leave(d.ID)
	s.queue.Begun(time.Now(), d.ID)
	return d, r.notSentAgain(errkind.New(errkind.Overloaded, "request ended while it waited for room").WithRetryAfter(defaultRetryAfter))
}

// applyDecision logs and counts a decision on which the request waited or is refused.
func (r *request) applyDecision(d admission.Decision) (admissionTicket, *errkind.Error) {
	g := r.gateway.admission
	ticket := admissionTicket{r.service, d.ID}
	priority := forward.Priority(r.route, r.customer)
	if d.Action == admission.Run && d.Waited == 0 {
		return ticket, nil
	}
	g.metrics.observeAdmission(priority, d)
	g.log.Info("request waited or is refused for lack of room", zap.String("request", r.inbound.meta.RequestID), zap.String("route", r.route.Name),
		zap.String("customer", r.customer.Name), zap.Int("priority", priority), zap.Stringer("outcome", d.Action), zap.Bool("late", d.Late),
		zap.Int64("waited_ms", d.Waited.Milliseconds()), zap.Int64("room_wait_ms", d.RoomWait.Milliseconds()), zap.Int64("room_age_ms", d.RoomAge.Milliseconds()),
		zap.Int("queued", d.Queued), zap.Bool("ran", r.mayHaveRun))
	if d.Action == admission.Run {
		return ticket, nil
	}
	g.dispatcher.recordRefused(r.service)
	return admissionTicket{}, r.notSentAgain(d.Err)
}

// recordRefused counts a refused request in this gateway's demand.
func (d *dispatcher) recordRefused(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.RecordRefused(sinceBoot(), service)
}

// begun returns a ticket and lets waiting requests go.
func (g *admissionGuard) begun(t admissionTicket) {
	if t.id == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[t.service]; s != nil {
		now := time.Now()
		s.queue.Begun(now, t.id)
		g.admitWaiting(now, t.service, s)
	}
}

// admitWaiting lets waiting requests go and refuses those that are of no use any more. The caller holds the
// lock.
func (g *admissionGuard) admitWaiting(now time.Time, service string, s *admittedService) {
	if len(s.waiters) == 0 {
		return
	}
	if g.serviceFor(now, service) == nil {
		return
	}
	s.queue.Expire(now)
	for d, ok := s.queue.Next(now); ok; d, ok = s.queue.Next(now) {
		s.deliver(d)
	}
	s.deliverRefused(now)
}

// letAllGo ends the wait of all requests.
func (s *admittedService) letAllGo(now time.Time) {
	for _, d := range s.queue.Drain(now) {
		s.deliver(d)
	}
	s.deliverRefused(now)
}

func (s *admittedService) deliverRefused(now time.Time) {
	for _, refused := range s.queue.TakeRefused(now) {
		s.deliver(refused.Decision)
	}
}

// deliver passes a decision to the request that waits for it.
func (s *admittedService) deliver(d admission.Decision) {
	if admitted := s.waiters[d.ID]; admitted != nil {
		delete(s.waiters, d.ID)
		admitted <- d
	}
}

func (g *admissionGuard) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// runAdmission lets waiting requests go as room comes, until the context ends.
func (g *Gateway) runAdmission() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.admission.wake:
		}
		ticker := time.NewTicker(admissionInterval)
		for waits := true; waits; {
			select {
			case <-g.ctx.Done():
				ticker.Stop()
				return
			case <-ticker.C:
			}
			g.protect("admission", func() { waits = g.admission.tick(time.Now()) })
		}
		ticker.Stop()
	}
}

// tick looks at all waiting requests and reports whether any are left.
func (g *admissionGuard) tick(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	waits := false
	for name, s := range g.services {
		g.admitWaiting(now, name, s)
		waits = waits || len(s.waiters) > 0
	}
	return waits
}
