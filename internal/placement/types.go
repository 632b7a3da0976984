// Package placement decides which versions are on which paid replicas, and
// carries the decisions out as fenced orders. It is pure: callers pass the time
// and serialise the calls.
package placement

import "time"

// Version is a version that the pool may hold.
type Version struct {
	Name string
	// Demand is the offered work in replicas kept fully busy.
	Demand float64
	// Min is the least number of serving replicas while Used; at least 1 then.
	Min int
	// Used states that the version may get new work.
	Used bool
}

// Replica is one paid backend server of the pool.
type Replica struct {
	Name          string
	FailureDomain string
	// Version is the version it holds; empty when it holds none.
	Version string
	// Loading is the version that an order under way will give it.
	Loading string
	// Healthy states that it serves Version and takes orders.
	Healthy bool
	// Fence is the highest fencing token recorded for it.
	Fence int
	// Running is the number of requests it runs.
	Running int
}

// Order gives a replica another version. The sidecar lets running requests end
// before it unloads.
type Order struct {
	Replica string
	// Fence is the fencing token; it must be recorded in the platform object
	// placement/{backend server} by a conditional update before it is sent.
	Fence int
	// Unload is the version to remove; empty when the replica held none.
	Unload string
	Load   string
	Reason string
}

// Options configure a Planner; zero values mean the defaults.
type Options struct {
	// LoadsPerMinute bounds orders by the rate of the weight store; default 6.
	LoadsPerMinute float64
	// LoadBurst is the largest number of orders at once; default 2.
	LoadBurst int
	// Hysteresis is the relative gain in load per replica that a move needs;
	// default 0.3.
	Hysteresis float64
	// Dwell is the shortest time a replica keeps a version; default 2 min.
	Dwell time.Duration
	// Busy is the load per replica above which a version may take replicas of
	// others; default 0.7.
	Busy float64
	// Smooth is the time constant of the demand estimate; default 30 s.
	Smooth time.Duration
}

func (o Options) withDefaults() Options {
	if o.LoadsPerMinute <= 0 {
		o.LoadsPerMinute = 6
	}
	if o.LoadBurst <= 0 {
		o.LoadBurst = 2
	}
	if o.Hysteresis <= 0 {
		o.Hysteresis = 0.3
	}
	if o.Dwell <= 0 {
		o.Dwell = 2 * time.Minute
	}
	if o.Busy <= 0 {
		o.Busy = 0.7
	}
	if o.Smooth <= 0 {
		o.Smooth = 30 * time.Second
	}
	return o
}
