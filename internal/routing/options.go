package routing

import "time"

// Algorithm selects how a Fleet chooses a backend server.
type Algorithm int

// The load-balancing algorithms. PowerOfD is the default; the others are
// baselines for comparison.
const (
	// PowerOfD picks the lowest score among d random members of the subset and
	// the servers that probably have the prompt prefix cached.
	PowerOfD Algorithm = iota
	// RoundRobin picks the members of the subset in turn.
	RoundRobin
	// LeastReported picks the member with the lowest reported load per slot.
	LeastReported
	// PowerOfTwoReported picks the one of two random members with the lower
	// reported load per slot. It ignores the entry's own attempts in flight.
	PowerOfTwoReported
)

// String returns the name of the algorithm in the tables of the policy tests.
func (a Algorithm) String() string {
	return [...]string{"power of d", "round robin", "least reported", "power of two, reports only"}[a]
}

// Options configures a Fleet. A zero field takes its default.
type Options struct {
	Algorithm Algorithm
	// Choices is the number d of random members that PowerOfD compares;
	// default 3, at most 8.
	Choices int
	// SubsetSize limits how many servers of one version or plain service the
	// entry sends to while one of them is available; default 48.
	SubsetSize int
	// ReportHalfLife is the age at which the weight of a load report has fallen
	// to one half; default 2 s.
	ReportHalfLife time.Duration
	// ProbeAfter is the age of a load report from which its server is due for a
	// probe, and the minimum time between two probes; default 2 s.
	ProbeAfter time.Duration
	// PrefixEntries limits the number of prefixes in the prefix index; the least
	// recently used one is evicted first. The default is 4096.
	PrefixEntries int
	// PrefixHalfLife is the time in which the estimated probability that a server
	// still caches a prefix halves without new evidence; default 1 min.
	PrefixHalfLife time.Duration
	// PrefillTokenMs is the initial estimate of the time to process one uncached
	// prompt token on a server of average speed, in milliseconds; default 0.1.
	PrefillTokenMs float64
	// DomainPenaltyMs is added to the score of a server in another failure domain
	// of the region, for the network round trip, in milliseconds; default 2.5.
	DomainPenaltyMs float64
	// RegionPenaltyMs is added to the score of a server in another region, in
	// milliseconds; default 60.
	RegionPenaltyMs float64
	// DefaultTokenMs is the time between tokens that is assumed before the first
	// load report, in milliseconds; default 20.
	DefaultTokenMs float64
	// DefaultServiceMs is the service time of one request that is assumed before
	// the first request ends, in milliseconds; default 2000.
	DefaultServiceMs float64
}

func (o Options) withDefaults() Options {
	setDefault(&o.Choices, 3)
	setDefault(&o.SubsetSize, 48)
	setDefault(&o.ReportHalfLife, 2*time.Second)
	setDefault(&o.ProbeAfter, 2*time.Second)
	setDefault(&o.PrefixEntries, 4096)
	setDefault(&o.PrefixHalfLife, time.Minute)
	setDefault(&o.PrefillTokenMs, 0.1)
	setDefault(&o.DomainPenaltyMs, 2.5)
	setDefault(&o.RegionPenaltyMs, 60)
	setDefault(&o.DefaultTokenMs, 20)
	setDefault(&o.DefaultServiceMs, 2000)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
