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

// Fleet simulates many entries that enforce the limits of one customer together.
type Fleet struct {
	Seed    uint64
	Entries int
	// Rate is the customer's limit and Offered its demand, in requests per second.
	Rate, Offered float64
	// Burst is the customer's burst limit in requests; 0 means the requests of one
	// second at Rate.
	Burst int
	// Concurrency is the customer's limit of running requests; 0 means no limit.
	// RequestTime is the duration of each request.
	Concurrency int
	RequestTime time.Duration
	// Skew is the exponent of the Zipf distribution of demand over the entries; 0
	// distributes it evenly.
	Skew float64
	// RotateInterval is the interval at which the demand moves to other entries; 0 means
	// never.
	RotateInterval time.Duration
	// DigestLoss is the fraction of digests that are lost.
	DigestLoss float64
	Duration   time.Duration
	// FixedShare, if not 0, replaces the exchange of digests by a baseline: each entry
	// enforces this fraction of the limit on its own.
	FixedShare float64
	// JoinAt is the time at which a tenth more entries join; 0 means never. The
	// present entries learn the new number 10 s later, as from a lagging instance
	// list.
	JoinAt time.Duration

	sim               *Sim
	entries           []*limits.CustomerLimiter
	cumulativeDemand  []float64
	demandOffset      int
	digestBytes       int
	admittedPerSecond []int
	offeredPerSecond  []int
	running           int
	runningTime       time.Duration
	maxRunning        int
}

// FleetResult holds the figures of a Fleet run after its warm-up.
type FleetResult struct {
	// MaxOverLimit is the maximum number of requests admitted in any 10 s, relative to the
	// number that the limit allows in 10 s plus the burst and one request per entry.
	MaxOverLimit float64
	// MeanAdmitted is the mean admitted rate relative to the smaller of limit and demand.
	MeanAdmitted float64
	// MaxRunning is the maximum number of running requests and MeanRunning the mean,
	// both relative to Concurrency.
	MaxRunning, MeanRunning float64
	// BytesPerSecond is the mean rate at which an entry sends demand records, in bytes
	// per second of JSON.
	BytesPerSecond float64
}

const (
	fleetWarmUp    = 60 * time.Second
	windowSeconds  = 10
	digestInterval = 500 * time.Millisecond
	instanceLag    = 10 * time.Second
	fleetCustomer  = "customer"
)

// SingleCustomerSnapshot returns a manifest snapshot with a single customer.
func SingleCustomerSnapshot(customer api.Customer) *manifest.Snapshot {
	return &manifest.Snapshot{Manifest: api.Manifest{Customers: []api.Customer{customer}}}
}

// Run simulates the fleet for a warm-up and Duration and returns the figures. It may be called
// once.
func (f *Fleet) Run() FleetResult {
	f.sim = NewSim(f.Seed)
	seconds := int((f.Duration + fleetWarmUp) / time.Second)
	f.admittedPerSecond, f.offeredPerSecond = make([]int, seconds+1), make([]int, seconds+1)
	for range f.Entries {
		f.addEntry(f.Entries)
	}
	f.updateDemandShares()
	f.sim.Poisson(func() float64 { return f.Offered }, f.handleRequest)
	f.sim.Every(digestInterval, f.exchangeDigests)
	if f.RotateInterval > 0 {
		f.sim.Every(f.RotateInterval, func() bool { f.demandOffset += max(1, len(f.entries)/3); return true })
	}
	if f.JoinAt > 0 {
		f.sim.After(f.JoinAt, f.addJoiningEntries)
	}
	f.sim.RunFor(f.Duration + fleetWarmUp)
	return f.result()
}

// addEntry adds an entry that assumes knownEntries entries in total, or only itself when
// FixedShare is set.
func (f *Fleet) addEntry(knownEntries int) {
	rate := f.Rate
	if f.FixedShare > 0 {
		rate *= f.FixedShare
		knownEntries = 1
	}
	c := limits.NewCustomerLimiter(fmt.Sprint("entry-", len(f.entries)))
	c.SetEntryCount(knownEntries)
	c.ApplySnapshot(SingleCustomerSnapshot(api.Customer{Name: fleetCustomer, RequestsPerSecond: rate, Burst: f.Burst, Concurrency: f.Concurrency}))
	f.entries = append(f.entries, c)
}

// addJoiningEntries adds a tenth more entries. They know the new number of entries at
// once, the present ones after instanceLag.
func (f *Fleet) addJoiningEntries() {
	n := len(f.entries) + max(1, len(f.entries)/10)
	for len(f.entries) < n {
		f.addEntry(n)
	}
	f.updateDemandShares()
	f.sim.After(instanceLag, func() {
		for _, c := range f.entries {
			c.SetEntryCount(n)
		}
	})
}

// updateDemandShares computes the cumulative demand by entry for handleRequest.
func (f *Fleet) updateDemandShares() {
	f.cumulativeDemand = make([]float64, len(f.entries))
	sum := 0.0
	for i := range f.cumulativeDemand {
		sum += 1 / math.Pow(float64(i+1), f.Skew)
		f.cumulativeDemand[i] = sum
	}
}

func (f *Fleet) handleRequest() {
	draw, i := f.sim.Rand.Float64()*f.cumulativeDemand[len(f.cumulativeDemand)-1], 0
	for f.cumulativeDemand[i] < draw {
		i++
	}
	second := int(f.sim.Now.Sub(Epoch) / time.Second)
	f.offeredPerSecond[second]++
	c := f.entries[(i+f.demandOffset)%len(f.entries)]
	if c.Admit(f.sim.Now, fleetCustomer) != nil {
		return
	}
	f.admittedPerSecond[second]++
	f.running++
	if f.sim.Now.Sub(Epoch) >= fleetWarmUp {
		f.runningTime += f.RequestTime
		f.maxRunning = max(f.maxRunning, f.running)
	}
	f.sim.After(f.RequestTime, func() {
		f.running--
		c.Done(f.sim.Now, fleetCustomer)
	})
}

// exchangeDigests sends a digest from each entry to a random peer and one back.
func (f *Fleet) exchangeDigests() bool {
	if f.FixedShare > 0 || len(f.entries) == 1 {
		return true
	}
	for i, c := range f.entries {
		peer := f.entries[(i+1+f.sim.Rand.IntN(len(f.entries)-1))%len(f.entries)]
		f.sendDigest(c, peer)
		f.sendDigest(peer, c)
	}
	return true
}

func (f *Fleet) sendDigest(from, to *limits.CustomerLimiter) {
	demands := from.Demands(f.sim.Now)
	if raw, err := json.Marshal(demands); err == nil {
		f.digestBytes += len(raw)
	}
	if f.sim.Rand.Float64() >= f.DigestLoss {
		to.MergeDemands(f.sim.Now, demands)
	}
}

func (f *Fleet) result() FleetResult {
	out := FleetResult{}
	firstSecond := int(fleetWarmUp / time.Second)
	burst := math.Max(1, f.Rate)
	if f.Burst > 0 {
		burst = float64(f.Burst)
	}
	allowed := f.Rate*windowSeconds + burst + float64(len(f.entries))
	admitted, offered := 0, 0
	for i := firstSecond; i+windowSeconds < len(f.admittedPerSecond); i++ {
		sum := 0
		for _, n := range f.admittedPerSecond[i : i+windowSeconds] {
			sum += n
		}
		out.MaxOverLimit = math.Max(out.MaxOverLimit, float64(sum)/allowed)
	}
	for i := firstSecond; i < len(f.admittedPerSecond)-1; i++ {
		admitted += f.admittedPerSecond[i]
		offered += f.offeredPerSecond[i]
	}
	limit := f.Rate * f.Duration.Seconds()
	out.MeanAdmitted = float64(admitted) / math.Min(limit, float64(offered))
	if f.Concurrency > 0 {
		out.MaxRunning = float64(f.maxRunning) / float64(f.Concurrency)
		out.MeanRunning = f.runningTime.Seconds() / f.Duration.Seconds() / float64(f.Concurrency)
	}
	out.BytesPerSecond = float64(f.digestBytes) / float64(len(f.entries)) / (f.Duration + fleetWarmUp).Seconds()
	return out
}
