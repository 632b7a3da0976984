package forward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// leavingWork is the time that one request takes at a worker, leavingTarget the target of its caller.
	leavingWork   = 100 * time.Millisecond
	leavingTarget = 2 * time.Second
	// leavingBucket is the time over which the requests that leave are counted.
	leavingBucket = exchangeEvery
	// exchangeEvery is the time between two exchanges of loads.
	exchangeEvery = 200 * time.Millisecond
)

// domainLoad describes gateways in several failure domains before workers that serve one request after the
// other. Demand is in multiples of what full workers serve.
type domainLoad struct {
	gateways, full int
	// workers is the number of workers in each failure domain.
	workers []int
	// demand returns the demand in a failure domain at a time.
	demand func(domain int, at time.Duration) float64
	// newsAge is how old the loads of the others are when new ones arrive; 0 means exchangeEvery.
	newsAge time.Duration
	// priority is the priority of the requests by domain. The most urgent one is 0.
	priority [8]int
	length   time.Duration
}

// domainResult is what became of the requests of one failure domain, by bucket of their arrival.
type domainResult struct{ asked, left, late []float64 }

// share returns the sum of counts over the sum of the requests asked, from a time until another.
func (r *domainResult) share(counts []float64, from, until time.Duration) float64 {
	n, asked := 0.0, 0.0
	for i := int(from / leavingBucket); i < int(until/leavingBucket) && i < len(counts); i++ {
		n, asked = n+counts[i], asked+r.asked[i]
	}
	return n / max(asked, 1)
}

// demand returns the demand from a time until another, in multiples of what that many workers serve.
func (r *domainResult) demand(workers int, from, until time.Duration) float64 {
	asked := 0.0
	for _, n := range r.asked[int(from/leavingBucket):int(until/leavingBucket)] {
		asked += n
	}
	return asked / (until - from).Seconds() * leavingWork.Seconds() / float64(workers)
}

// settled is the time after which the gateways have timed the workers and their queues are steady.
const settled = 8 * time.Second

type arrival struct {
	at       time.Duration
	gateway  int
	inFlight *InFlight
	worker   string
}

// arrivalQueue is a heap of events in the order of their times.
type arrivalQueue []arrival

func (q arrivalQueue) Len() int           { return len(q) }
func (q arrivalQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q arrivalQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *arrivalQueue) Push(x any)        { *q = append(*q, x.(arrival)) } //nolint:forcetypeassert // heap of arrivals
func (q *arrivalQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet returns the gateways and the failure domain of each worker.
func (l domainLoad) fleet() ([]*Placer, map[string]int) {
	var list []Worker
	domainOf := map[string]int{}
	for domain, n := range l.workers {
		for w := range n {
			id := fmt.Sprintf("w%d-%d", domain, w)
			domainOf[id] = domain
			list = append(list, Worker{ID: id, Service: "s", FailureDomain: fmt.Sprint(domain), Slots: 1})
		}
	}
	placers := make([]*Placer, l.gateways)
	for i := range placers {
		placers[i] = NewPlacer(PlacerOptions{FailureDomain: fmt.Sprint(i % len(l.workers)), LeavingIsSet: true})
		placers[i].SetWorkers(append([]Worker(nil), list...))
		placers[i].SetUrgentRequests(map[string]UrgentRequests{"s": {Priority: 0, Target: leavingTarget}})
	}
	return placers, domainOf
}

func (l domainLoad) play() []domainResult {
	rng := rand.New(rand.NewPCG(3, uint64(l.gateways)))
	placers, domainOf := l.fleet()
	results := make([]domainResult, len(l.workers))
	for i := range results {
		n := int(l.length/leavingBucket) + 1
		results[i] = domainResult{make([]float64, n), make([]float64, n), make([]float64, n)}
	}
	freeAt, queued := map[string]time.Duration{}, map[string]int{}
	running := &arrivalQueue{}
	nextExchange, every := time.Duration(0), exchangeEvery
	if l.newsAge > 0 {
		every = l.newsAge
	}
	next := make([]time.Duration, len(l.workers)) // the next request of each domain
	for now := time.Duration(0); ; {
		domain := slices.Index(next, slices.Min(next))
		if now = next[domain]; now >= l.length {
			return results
		}
		next[domain] += time.Duration(float64(leavingWork) / float64(l.full) / l.demand(domain, now) * (0.5 + rng.Float64()))
		for running.Len() > 0 && (*running)[0].at <= now {
			e := heap.Pop(running).(arrival) //nolint:forcetypeassert // heap of arrivals
			queued[e.worker]--
			e.inFlight.AnswerStarted(e.at)
			e.inFlight.End()
			placers[e.gateway].RecordLoad(e.at, e.worker, Load{Running: min(queued[e.worker], 1), Waiting: max(queued[e.worker]-1, 0), Slots: 1})
		}
		if now >= nextExchange {
			nextExchange += every
			exchangeBetweenDomains(now, placers)
		}
		i := rng.IntN((l.gateways+len(l.workers)-1-domain)/len(l.workers))*len(l.workers) + domain
		got, ok := placers[i].Pick(now, WorkerQuery{Service: "s", Route: "r", Priority: l.priority[domain], TargetLeft: leavingTarget, Bytes: 5000}, rng)
		if !ok {
			panic("no worker")
		}
		id := got.Worker.ID
		f := placers[i].RecordStart(now, id, "", nil, 0)
		freeAt[id] = max(now, freeAt[id]) + leavingWork
		queued[id]++
		heap.Push(running, arrival{freeAt[id], i, f, id})
		r, bucket := &results[domain], int(now/leavingBucket)
		r.asked[bucket]++
		if domainOf[id] != domain {
			r.left[bucket]++
		}
		if freeAt[id]-now > leavingTarget {
			r.late[bucket]++
		}
	}
}

// exchangeBetweenDomains gives each gateway the loads and the demand of the others.
func exchangeBetweenDomains(now time.Duration, placers []*Placer) {
	total := map[string]float64{}
	for _, p := range placers {
		p.OwnLoads(func(id string, load float64) { total[id] += load })
	}
	demand := 0.0
	for _, p := range placers {
		p.OwnDemand(now, func(_ string, perSecond float64) { demand += perSecond })
	}
	for _, p := range placers {
		own := map[string]float64{}
		p.SetPeerDemand(now, len(placers), func(service string) float64 { return demand - p.demandFor(service).rate(now) })
		p.OwnLoads(func(id string, load float64) { own[id] = load })
		p.SetPeerLoads(now, len(placers), func(id string) float64 { return max(total[id]-own[id], 0) })
	}
}

// bestLeaving returns what leaves each failure domain of a demand if as much is served as possible, each
// domain serves its own first, and no more leaves than must.
func (l domainLoad) bestLeaving(demand []float64) []float64 {
	out := make([]float64, len(l.workers))
	room, short := 0.0, 0.0
	for d, n := range l.workers {
		missing := demand[d] - float64(n)/float64(l.full)
		if missing > 0 {
			out[d], short = missing, short+missing
		}
		room -= min(missing, 0)
	}
	for d := range out {
		if short > room {
			out[d] *= room / short
		}
	}
	return out
}

// Guards against requests that leave while the workers at home answer in time, and against too much or too
// little that leaves where they do not: the best amount serves all that can be served.
func TestLeavesAsMuchAsMust(t *testing.T) {
	for name, l := range map[string]domainLoad{
		"all have room":           {workers: []int{12, 12, 12}, demand: steady(0.7, 0.7, 0.7)},
		"one has half":            {workers: []int{6, 12, 12}, demand: steady(0.8, 0.6, 0.6)},
		"one has none":            {workers: []int{0, 12, 12}, demand: steady(0.5, 0.6, 0.6)},
		"two are short":           {workers: []int{12, 12, 12}, demand: steady(1.25, 1.25, 0.3)},
		"one gets three times it": {workers: []int{12, 12, 12}, demand: steady(1.5, 0.5, 0.5)},
	} {
		for _, gateways := range []int{4, 29, 103} {
			t.Run(fmt.Sprintf("%s, %d gateways", name, gateways), func(t *testing.T) {
				l.gateways, l.full, l.length = gateways, 12, 20*time.Second
				results := l.play()
				demand := make([]float64, len(results))
				for d := range results {
					demand[d] = results[d].demand(l.full, settled, l.length)
				}
				for d, best := range l.bestLeaving(demand) {
					r := &results[d]
					left, late := r.share(r.left, settled, l.length)*demand[d], r.share(r.late, settled, l.length)
					t.Logf("domain %d: demand %.3f, %.3f leaves, %.3f at best; %.4f late", d, demand[d], left, best, late)
					assert.Check(t, late <= 0.01, "%.3f of domain %d are late", late, d)
					assert.Check(t, left <= 1.1*best+0.001, "too much leaves domain %d: %.3f, best %.3f", d, left, best)
					assert.Check(t, left >= 0.9*best, "too little leaves domain %d: %.3f, best %.3f", d, left, best)
				}
			})
		}
	}
}

// steady returns a demand by domain that does not change.
func steady(demand ...float64) func(int, time.Duration) float64 {
	return func(domain int, _ time.Duration) float64 { return demand[domain] }
}

// rise and fall are the times at which the demand of step rises and falls.
const rise, fall = 12 * time.Second, 20 * time.Second

// step returns a demand that is three times as high in domain 0 for eight seconds.
func step(domain int, at time.Duration) float64 {
	switch {
	case domain > 0:
		return 0.4
	case at >= rise && at < fall:
		return 1.8
	}
	return 0.6
}

// Guards against an amount that follows the load too late, or swings back and forth. The demand of one domain
// rises to three times and falls again within ten seconds. The queues at home first fill up to the load up to
// which answers begin in time; that takes timelyShare of the target divided by what the demand is above the
// capacity. Two exchanges later as much leaves as must, and the amount in a second crosses this level at most
// once after each step. In a second 864 requests arrive there, so that chance moves it by 4%.
func TestLeavingFollowsDemand(t *testing.T) {
	for _, gateways := range []int{4, 29, 103} {
		t.Run(fmt.Sprintf("%d gateways", gateways), func(t *testing.T) {
			l := domainLoad{gateways: gateways, full: 48, workers: []int{48, 48, 48}, demand: step, length: 25 * time.Second}
			r := &l.play()[0]
			filled := rise + time.Duration(timelyShare*float64(leavingTarget)/0.8)
			reached := (filled + 2*exchangeEvery).Truncate(leavingBucket) + leavingBucket
			crossings, sign := 0, 0
			for at := reached; at+time.Second <= fall; at += time.Second {
				demand := r.demand(l.full, at, at+time.Second)
				left, best := r.share(r.left, at, at+time.Second)*demand, demand-1
				t.Logf("at %v: %.2f leaves, %.2f at best", at, left, best)
				assert.Check(t, left >= 0.9*best && left <= 1.1*best, "%.3f leaves, %.3f at best", left, best)
				switch {
				case left > 1.1*best && sign != 1:
					sign, crossings = 1, crossings+1
				case left < 0.9*best && sign != -1:
					sign, crossings = -1, crossings+1
				}
			}
			assert.Check(t, crossings <= 1, "the share that leaves crossed its level %d times", crossings)
			after := r.share(r.left, (fall+2*exchangeEvery).Truncate(leavingBucket)+leavingBucket, l.length)
			assert.Check(t, after <= 0.001, "%.3f leaves after the demand has fallen", after)
			assert.Check(t, r.share(r.late, rise, fall) <= 0.01, "%.3f are late", r.share(r.late, rise, fall))
		})
	}
}

// Guards against an amount that follows a step of the demand later than within two exchanges, whatever the queues at
// home still take.
func TestLeavingReachesItsLevelInTwoExchanges(t *testing.T) {
	for _, gateways := range []int{4, 29, 103} {
		t.Run(fmt.Sprintf("%d gateways", gateways), func(t *testing.T) {
			l := domainLoad{gateways: gateways, full: 48, workers: []int{48, 48, 48}, demand: step, length: rise + 3*time.Second}
			r := &l.play()[0]
			from, until := rise+2*exchangeEvery, rise+2*exchangeEvery+time.Second
			demand := r.demand(l.full, from, until)
			left, best := r.share(r.left, from, until)*demand, demand-1
			assert.Check(t, left >= 0.9*best && left <= 1.1*best, "in the second after two exchanges %.3f leaves, %.3f at best", left, best)
		})
	}
}

// Guards against requests that go to a domain of which little is known, and against gateways that keep at home
// what nobody serves there in time. One domain has half of its workers.
func TestStaleLoadsKeepRequestsHome(t *testing.T) {
	for _, age := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, gateways := range []int{4, 29, 103} {
			t.Run(fmt.Sprintf("%v old, %d gateways", age, gateways), func(t *testing.T) { checkStale(t, age, gateways) })
		}
	}
}

// Guards against the same faults where the loads of others are older than they are used.
func TestLostLoadsKeepRequestsHome(t *testing.T) {
	for _, gateways := range []int{4, 29, 103} {
		t.Run(fmt.Sprintf("%d gateways", gateways), func(t *testing.T) { checkStale(t, 5*time.Second, gateways) })
	}
}

func checkStale(t *testing.T, age time.Duration, gateways int) {
	t.Helper()
	l := domainLoad{gateways: gateways, full: 12, workers: []int{6, 12, 12}, demand: steady(0.8, 0.6, 0.6), newsAge: age, length: 20 * time.Second}
	results := l.play()
	var demand []float64
	for d := range results {
		demand = append(demand, results[d].demand(l.full, settled, l.length))
	}
	best := l.bestLeaving(demand)
	for d := range results {
		r := &results[d]
		left, late := r.share(r.left, settled, l.length)*demand[d], r.share(r.late, settled, l.length)
		t.Logf("domain %d: %.3f leaves, %.3f at best; %.4f late", d, left, best[d], late)
		if d > 0 {
			assert.Check(t, left <= 0.001, "%.3f leaves domain %d, which has room", left, d)
			assert.Check(t, late <= 0.01, "%.3f of domain %d, which has room, are late", late, d)
			continue
		}
		assert.Check(t, left >= 0.9*best[0] && left <= 1.1*best[0], "%.3f leaves, %.3f at best", left, best[0])
	}
}

// Guards against less urgent requests that take the room of more urgent ones in another domain.
func TestUrgentRequestsKeepTheirRoom(t *testing.T) {
	for _, gateways := range []int{4, 29, 103} {
		l := domainLoad{gateways: gateways, full: 12, workers: []int{12, 12}, demand: steady(1.6, 0.9), priority: [8]int{2, 0}, length: 20 * time.Second}
		results := l.play()
		late := results[1].share(results[1].late, settled, l.length)
		left := results[1].share(results[1].left, settled, l.length)
		t.Logf("%d gateways: %.4f of the urgent requests are late, %.4f leave", gateways, late, left)
		assert.Check(t, late <= 0.01 && left <= 0.001, "%.3f of the urgent requests are late, %.3f leave", late, left)
	}
}
