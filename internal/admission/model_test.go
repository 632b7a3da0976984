package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	modelStep       = 10 * time.Millisecond
	modelWorkers    = 20
	workerSpeed     = 10.0 // work a second, in requests
	modelWarmUp     = 10 * time.Second
	modelJudged     = 20 * time.Second
	modelEnd        = 40 * time.Second
	exchangeEvery   = 200 * time.Millisecond
	modelCustomers  = 24
	smallestRequest = 0.2 // work of a request whose prompt is cached
)

// modelKind is a kind of request with its share of the arrivals.
type modelKind struct {
	name              string
	priority          int
	target, timeLimit time.Duration
	share             float64
	work              func(*rand.Rand) float64
}

func evenWork(mean float64) func(*rand.Rand) float64 {
	return func(rng *rand.Rand) float64 { return mean * (0.5 + rng.Float64()) }
}

var modelKinds = []modelKind{
	{"appeal", 0, 1500 * time.Millisecond, 5 * time.Second, 0.6, evenWork(0.7)},
	{"chat", 1, 1500 * time.Millisecond, 20 * time.Second, 0.1, evenWork(0.4)},
	{"review", 2, 4 * time.Second, 6 * time.Second, 0.3, evenWork(1.9)},
}

// model plays callers, gateways and workers. Workers serve in the order of arrival.
type model struct {
	gateways int
	// load is the offered work relative to what the workers serve, after the warm-up at normal load.
	load, normalLoad float64
	kinds            []modelKind
	// customerFactor and kindFactor multiply the arrivals after the warm-up.
	customerFactor func(customer int) float64
	kindFactor     func(kind string) float64
	customerSize   func(customer int) float64
	unequal        bool // arrivals of the gateways differ up to 20 times
	cutOff         bool // half of the gateways hear nothing of the others after the warm-up
	restarted      bool // one gateway loses its state after the warm-up

	rng    *rand.Rand
	queues []*Queue
	// sent is the work at the workers by gateway, now and at the last exchange.
	sent, sentAtExchange []float64
	loads                []float64
	// heard is the mean load that workers stated in their answers, by gateway.
	heard       []float64
	workers     [][]*modelRequest
	reported    float64 // mean load of a worker at the last exchange
	exchangedAt time.Time
	returns     []*modelRequest
	results     map[string]*modelResult
	demand      []float64 // share of the arrivals by gateway
	queued      map[queuedKey]*modelRequest
	mean        float64
	// largeWork is the work from which a request counts among the largest.
	largeWork float64
}

type queuedKey struct {
	gateway int
	id      string
}

type modelRequest struct {
	Request
	gateway, customer int
	first, due        time.Time
	remaining         float64
	id                string
	hasReturned       bool
	largest           bool
}

// modelResult counts what the callers of a group got.
type modelResult struct {
	offered, withinTarget, late, refused, refusedLate int
	workWithinTarget                                  float64
}

func (r *modelResult) served() float64 {
	return float64(r.withinTarget+r.late) / math.Max(float64(r.offered), 1)
}

func (r *modelResult) withinTargetShare() float64 {
	return float64(r.withinTarget) / math.Max(float64(r.offered), 1)
}

func (m *model) result(group string) *modelResult {
	if m.results[group] == nil {
		m.results[group] = &modelResult{}
	}
	return m.results[group]
}

// groups returns what a request counts in.
func (r *modelRequest) groups() []string {
	out := []string{"all", "kind " + r.Kind, "customer " + r.Customer}
	if r.largest {
		out = append(out, "largest")
	}
	return out
}

func newModel(load float64) *model {
	return &model{gateways: 29, load: load, normalLoad: min(load, 0.6), kinds: modelKinds}
}

var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (m *model) run(t testing.TB) *model {
	t.Helper()
	m.rng = rand.New(rand.NewPCG(7, 11)) //nolint:gosec // a fixed seed
	m.queued = map[queuedKey]*modelRequest{}
	m.results, m.workers = map[string]*modelResult{}, make([][]*modelRequest, modelWorkers)
	m.heard = make([]float64, m.gateways)
	m.sentAtExchange = make([]float64, m.gateways)
	m.loads, m.sent, m.demand = make([]float64, modelWorkers), make([]float64, m.gateways), make([]float64, m.gateways)
	total := 0.0
	for g := range m.gateways {
		m.queues = append(m.queues, NewQueue(m.rng.Float64))
		m.demand[g] = 1
		if m.unequal {
			m.demand[g] = 1 + 19*float64(g)/math.Max(float64(m.gateways-1), 1)
		}
		total += m.demand[g]
	}
	for g := range m.demand {
		m.demand[g] /= total
	}
	for now := modelStart; now.Before(modelStart.Add(modelEnd)); now = now.Add(modelStep) {
		m.step(now)
	}
	m.log(t)
	return m
}

// log prints what the callers of each kind got.
func (m *model) log(t testing.TB) {
	for _, k := range m.kinds {
		r := m.result("kind " + k.name)
		share := func(n int) float64 { return float64(n) / math.Max(float64(r.offered), 1) }
		t.Logf("load %.1f %-7s offered %5d within target %.3f late %.3f refused %.3f", m.load, k.name, r.offered, r.withinTargetShare(), share(r.late), share(r.refused))
	}
}

func (m *model) step(now time.Time) {
	since := now.Sub(modelStart)
	if since%exchangeEvery == 0 {
		m.exchangedAt = now
		m.exchange()
	}
	if since == modelWarmUp && m.restarted {
		m.queues[0] = NewQueue(m.rng.Float64)
	}
	for g, q := range m.queues {
		q.SetRoom(m.room(now, g))
		q.Expire(now)
		for d, ok := q.Next(now); ok; d, ok = q.Next(now) {
			m.send(m.find(d.ID, g))
		}
		m.takeRefused(now, g)
	}
	m.arrive(now, since)
	m.work(now)
}

func (m *model) exchange() {
	sum := 0.0
	for _, l := range m.loads {
		sum += l
	}
	m.reported = sum / modelWorkers
	copy(m.sentAtExchange, m.sent)
}

// heardGain is the weight of one stated load.
const heardGain = 0.2

// room returns what a gateway knows: the loads of the last exchange, or those that workers stated in answers.
func (m *model) room(now time.Time, g int) Room {
	perRequest := time.Duration(float64(time.Second) / workerSpeed)
	load, share := m.reported+(m.sent[g]-m.sentAtExchange[g])/modelWorkers, m.demand[g]
	if m.cutOff && g%2 == 1 && now.After(modelStart.Add(modelWarmUp)) {
		share = min(share, 1/float64(m.gateways))
		load = m.heard[g]
	}
	return Room{At: now, Wait: time.Duration(load * float64(perRequest)), PerRequest: perRequest, Workers: modelWorkers, Share: share, OthersAt: m.exchangedAt}
}

func (m *model) find(id string, g int) *modelRequest {
	key := queuedKey{g, id}
	r := m.queued[key]
	delete(m.queued, key)
	return r
}

// arrive lets new and returning callers ask.
func (m *model) arrive(now time.Time, since time.Duration) {
	due := m.returns
	m.returns = nil
	for _, r := range due {
		if now.Before(r.due) {
			m.returns = append(m.returns, r)
			continue
		}
		r.gateway = m.pickGateway()
		m.ask(now, r)
	}
	load := m.load
	if since < modelWarmUp {
		load = m.normalLoad
	}
	rate := load * modelWorkers * workerSpeed / m.meanWork() * modelStep.Seconds()
	for customer := range modelCustomers {
		for _, k := range m.kinds {
			mean := rate * k.share * m.sizeOf(customer)
			if since >= modelWarmUp {
				mean *= m.factor(customer, k.name)
			}
			for range poisson(m.rng, mean) {
				m.ask(now, m.newRequest(now, customer, k))
			}
		}
	}
}

func (m *model) sizeOf(customer int) float64 {
	if m.customerSize == nil {
		return 1.0 / modelCustomers
	}
	return m.customerSize(customer)
}

func (m *model) factor(customer int, kind string) float64 {
	f := 1.0
	if m.customerFactor != nil {
		f *= m.customerFactor(customer)
	}
	if m.kindFactor != nil {
		f *= m.kindFactor(kind)
	}
	return f
}

// meanWork returns the mean work of a request.
func (m *model) meanWork() float64 {
	if m.mean == 0 {
		rng := rand.New(rand.NewPCG(3, 5)) //nolint:gosec // a fixed seed
		for range 2000 {
			for _, k := range m.kinds {
				m.mean += k.share * k.work(rng) / 2000
			}
		}
	}
	return m.mean
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p := 0, math.Exp(-mean)
	for u := rng.Float64(); u > p; u *= rng.Float64() {
		n++
	}
	return n
}

func (m *model) pickGateway() int {
	u := m.rng.Float64()
	for g, d := range m.demand {
		if u -= d; u < 0 {
			return g
		}
	}
	return m.gateways - 1
}

func (m *model) newRequest(now time.Time, customer int, k modelKind) *modelRequest {
	r := &modelRequest{Request: Request{
		Customer: fmt.Sprint("c", customer), Kind: k.name, Priority: k.priority, Work: max(k.work(m.rng), smallestRequest),
		Target: k.target, TimeLimit: k.timeLimit,
	}, customer: customer, first: now, gateway: m.pickGateway()}
	r.largest = r.Work > m.largeWork && m.largeWork > 0
	if m.counts(r) {
		for _, g := range r.groups() {
			m.result(g).offered++
		}
	}
	return r
}

// counts reports whether a request is one that is judged: it comes after the warm-up and early enough to end.
func (m *model) counts(r *modelRequest) bool {
	return r.first.Sub(modelStart) >= modelWarmUp && r.first.Sub(modelStart) < modelJudged
}

func (m *model) ask(now time.Time, r *modelRequest) {
	r.Arrived = now
	r.TimeLimit = r.first.Add(m.limitOf(r)).Sub(now)
	d := m.queues[r.gateway].Arrive(now, r.Request)
	r.id = d.ID
	switch d.Action {
	case Run:
		m.send(r)
	case Wait:
		m.queued[queuedKey{r.gateway, d.ID}] = r
	case Refuse:
		m.refuse(now, r, d)
	}
	m.takeRefused(now, r.gateway)
}

func (m *model) limitOf(r *modelRequest) time.Duration {
	for _, k := range m.kinds {
		if k.name == r.Kind {
			return k.timeLimit
		}
	}
	return 0
}

func (m *model) takeRefused(now time.Time, g int) {
	for _, refused := range m.queues[g].TakeRefused(now) {
		if r := m.find(refused.ID, g); r != nil {
			m.refuse(now, r, refused.Decision)
		}
	}
}

// refuse ends a request, or lets its caller return once after the time that the refusal states.
func (m *model) refuse(now time.Time, r *modelRequest, d Decision) {
	limit := r.first.Add(m.limitOf(r)).Sub(now)
	if after := d.Err.RetryAfter; !r.hasReturned && after < limit/3 {
		r.hasReturned, r.due = true, now.Add(after)
		m.returns = append(m.returns, r)
		return
	}
	if !m.counts(r) {
		return
	}
	for _, g := range r.groups() {
		m.result(g).refused++
		if d.Waited > r.Target {
			m.result(g).refusedLate++
		}
	}
}
