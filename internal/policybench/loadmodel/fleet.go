package loadmodel

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/limits"
	"github.com/borageflow/borageflow/internal/manifest"
)

// Fleet is a run of many entries that hold one customer's rate together.
type Fleet struct {
	Seed    uint64
	Entries int
	// Rate is the customer's limit and Offered its demand, in requests/s.
	Rate, Offered float64
	// Burst is the customer's burst in requests; 0 means one second of the rate.
	Burst int
	// Concurrency is the customer's limit of running requests, which take Hold each;
	// 0 means no limit.
	Concurrency int
	Hold        time.Duration
	// Skew is the exponent of the Zipf distribution of demand over the entries; 0
	// means equal parts.
	Skew float64
	// MoveEvery rotates the demand over the entries; 0 means never.
	MoveEvery time.Duration
	// Loss is the share of lost digests.
	Loss     float64
	Duration time.Duration
	// Share replaces the exchange by a fixed share of the limit for each entry: the
	// baselines. 0 means the exchange.
	Share float64
	// JoinAt adds a tenth more entries at that time; 0 means never. The others
	// learn their number 10 s later, as from a lagging instance list.
	JoinAt time.Duration

	sim      *Sim
	entries  []*limits.Customers
	weights  []float64
	shift    int
	bytes    int
	admitted []int
	offered  []int
	running  int
	held     time.Duration
	most     int
}

// FleetResult is what a run measured after the warm-up.
type FleetResult struct {
	// Over is the most admitted in any 10 s relative to the limit of that span,
	// burst and one request for each entry included.
	Over float64
	// Mean is the admitted rate relative to the smaller of limit and demand.
	Mean float64
	// MostRunning is the largest number of running requests relative to the limit,
	// and MeanRunning the mean.
	MostRunning, MeanRunning float64
	// BytesPerSecond is the size of the demand records that an entry sends.
	BytesPerSecond float64
}

const (
	fleetWarmUp   = 60 * time.Second
	fleetWindow   = 10
	digestEvery   = 500 * time.Millisecond
	instanceLag   = 10 * time.Second
	fleetCustomer = "customer"
)

// Snapshot returns a snapshot that holds one customer only.
func Snapshot(customer api.Customer) *manifest.Snapshot {
	return &manifest.Snapshot{Manifest: api.Manifest{Customers: []api.Customer{customer}}}
}

// Run simulates the fleet and returns the figures.
func (f *Fleet) Run() FleetResult {
	f.sim = NewSim(f.Seed)
	seconds := int((f.Duration + fleetWarmUp) / time.Second)
	f.admitted, f.offered = make([]int, seconds+1), make([]int, seconds+1)
	for range f.Entries {
		f.add(f.Entries)
	}
	f.weigh()
	f.sim.Poisson(func() float64 { return f.Offered }, f.request)
	f.sim.Every(digestEvery, f.exchange)
	if f.MoveEvery > 0 {
		f.sim.Every(f.MoveEvery, func() bool { f.shift += max(1, len(f.entries)/3); return true })
	}
	if f.JoinAt > 0 {
		f.sim.After(f.JoinAt, f.join)
	}
	f.sim.RunFor(f.Duration + fleetWarmUp)
	return f.result()
}

func (f *Fleet) add(known int) {
	rate := f.Rate
	if f.Share > 0 {
		rate *= f.Share
		known = 1
	}
	c := limits.NewCustomers(fmt.Sprint("entry-", len(f.entries)))
	c.SetEntries(known)
	c.Apply(Snapshot(api.Customer{Name: fleetCustomer, RequestsPerSecond: rate, Burst: f.Burst, Concurrency: f.Concurrency}))
	f.entries = append(f.entries, c)
}

// join adds entries that know the new number at once.
func (f *Fleet) join() {
	n := len(f.entries) + max(1, len(f.entries)/10)
	for len(f.entries) < n {
		f.add(n)
	}
	f.weigh()
	f.sim.After(instanceLag, func() {
		for _, c := range f.entries {
			c.SetEntries(n)
		}
	})
}

// weigh sets the cumulative shares of demand by entry.
func (f *Fleet) weigh() {
	f.weights = make([]float64, len(f.entries))
	sum := 0.0
	for i := range f.weights {
		sum += 1 / math.Pow(float64(i+1), f.Skew)
		f.weights[i] = sum
	}
}

func (f *Fleet) request() {
	at, i := f.sim.Rand.Float64()*f.weights[len(f.weights)-1], 0
	for f.weights[i] < at {
		i++
	}
	second := int(f.sim.Now.Sub(Epoch) / time.Second)
	f.offered[second]++
	c := f.entries[(i+f.shift)%len(f.entries)]
	if c.Admit(f.sim.Now, fleetCustomer) != nil {
		return
	}
	f.admitted[second]++
	f.running++
	if f.sim.Now.Sub(Epoch) >= fleetWarmUp {
		f.held += f.Hold
		f.most = max(f.most, f.running)
	}
	f.sim.After(f.Hold, func() {
		f.running--
		c.Done(f.sim.Now, fleetCustomer)
	})
}

// exchange makes every entry send one digest to a random peer, which answers
// with its own.
func (f *Fleet) exchange() bool {
	if f.Share > 0 || len(f.entries) == 1 {
		return true
	}
	for i, c := range f.entries {
		peer := f.entries[(i+1+f.sim.Rand.IntN(len(f.entries)-1))%len(f.entries)]
		f.send(c, peer)
		f.send(peer, c)
	}
	return true
}

func (f *Fleet) send(from, to *limits.Customers) {
	demands := from.Demands(f.sim.Now)
	if raw, err := json.Marshal(demands); err == nil {
		f.bytes += len(raw)
	}
	if f.sim.Rand.Float64() >= f.Loss {
		to.MergeDemands(f.sim.Now, demands)
	}
}

func (f *Fleet) result() FleetResult {
	out := FleetResult{}
	warm := int(fleetWarmUp / time.Second)
	burst := math.Max(1, f.Rate)
	if f.Burst > 0 {
		burst = float64(f.Burst)
	}
	allowed := f.Rate*fleetWindow + burst + float64(len(f.entries))
	admitted, offered := 0, 0
	for i := warm; i+fleetWindow < len(f.admitted); i++ {
		sum := 0
		for _, n := range f.admitted[i : i+fleetWindow] {
			sum += n
		}
		out.Over = math.Max(out.Over, float64(sum)/allowed)
	}
	for i := warm; i < len(f.admitted)-1; i++ {
		admitted += f.admitted[i]
		offered += f.offered[i]
	}
	limit := f.Rate * f.Duration.Seconds()
	out.Mean = float64(admitted) / math.Min(limit, float64(offered))
	if f.Concurrency > 0 {
		out.MostRunning = float64(f.most) / float64(f.Concurrency)
		out.MeanRunning = f.held.Seconds() / f.Duration.Seconds() / float64(f.Concurrency)
	}
	out.BytesPerSecond = float64(f.bytes) / float64(len(f.entries)) / (f.Duration + fleetWarmUp).Seconds()
	return out
}
