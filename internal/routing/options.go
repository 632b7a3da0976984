package routing

import "time"

// Algorithm is a load-balancing algorithm.
type Algorithm int

// The load-balancing algorithms. All but PowerOfD are baselines.
const (
	// PowerOfD scores d random members of the subset and the servers believed
	// to hold the prefix.
	PowerOfD Algorithm = iota
	// RoundRobin takes the members of the subset in turn.
	RoundRobin
	// LeastReported takes the member with the least reported load per slot.
	LeastReported
	// PowerOfTwoReported takes the better of two random members by reported
	// load, without the entry's own requests in flight.
	PowerOfTwoReported
)

// String returns the name used in tables.
func (a Algorithm) String() string {
	return [...]string{"power of d", "round robin", "least reported", "power of two, reports only"}[a]
}

// Options tune a Fleet. The zero value selects the defaults.
type Options struct {
	Algorithm Algorithm
	// Choices is d, the number of random members compared, at most 8.
	Choices int
	// SubsetSize bounds the members of one version that the entry sends to.
	SubsetSize int
	// ReportHalfLife is the age at which a report counts for half.
	ReportHalfLife time.Duration
	// ProbeAfter is the age from which a report is due for a probe.
	ProbeAfter time.Duration
	// PrefixEntries bounds the remembered prefixes.
	PrefixEntries int
	// PrefixHalfLife is the time after which an unconfirmed belief that a
	// prefix is cached counts for half.
	PrefixHalfLife time.Duration
	// PrefillTokenMs is the time to process one uncached prompt token, in
	// milliseconds, on a server of average speed, before any measurement.
	PrefillTokenMs float64
	// DomainPenaltyMs is added for a server in another failure domain of the
	// region: the round trip of the network.
	DomainPenaltyMs float64
	// RegionPenaltyMs is added for a server in another region.
	RegionPenaltyMs float64
	// DefaultTokenMs is the time between tokens before any report.
	DefaultTokenMs float64
	// DefaultServiceMs is the time of one request before any measurement.
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
