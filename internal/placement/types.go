// Package placement assigns model versions to the paid replicas of a pool and
// carries the assignments out with orders that are protected by fencing tokens. The
// package does no I/O and reads no clock: callers pass the time and serialize the
// calls.
package placement

import "time"

// Version is a model version that the replicas of a pool may hold.
type Version struct {
	Name string
	// Demand is the offered work as a number of fully busy replicas.
	Demand float64
	// Min is the minimum number of serving replicas while Used is true. Values
	// below 1 count as 1.
	Min int
	// Used reports whether the version may receive new requests.
	Used bool
}

// Replica is one paid backend server of a pool.
type Replica struct {
	Name          string
	FailureDomain string
	// Version is the version that the replica holds, or empty.
	Version string
	// Loading is the version that a pending order loads, or empty.
	Loading string
	// Healthy reports whether the replica serves Version and accepts orders.
	Healthy bool
	// Fence is the highest fencing token recorded for the replica.
	Fence int
	// Running is the number of running requests.
	Running int
}

// Order replaces the version of a replica. The sidecar waits for running requests to
// end before it unloads the old version.
type Order struct {
	Replica string
	// Fence is the fencing token. Before the order is sent, the token must be
	// recorded in the platform object placement/{backend server} by a conditional
	// update.
	Fence int
	// Unload is the version to remove, or empty if the replica held none.
	Unload string
	// Load is the version to load.
	Load string
	// Reason is why the planner chose the order.
	Reason string
}

// PlannerOptions configures a Planner. Zero values select the defaults.
type PlannerOptions struct {
	// LoadsPerMinute bounds the rate of orders to the rate at which the weight
	// store serves loads. The default is 6.
	LoadsPerMinute float64
	// LoadBurst is the maximum number of orders at once. The default is 2.
	LoadBurst int
	// Hysteresis is the relative gain in load per replica that a move requires.
	// The default is 0.3.
	Hysteresis float64
	// MinDwell is the shortest time for which a replica keeps a version before it may
	// be moved for load. The default is 2 min.
	MinDwell time.Duration
	// LoadThreshold is the minimum load per replica at which a version may take replicas from
	// other versions. The default is 0.7.
	LoadThreshold float64
	// DemandTimeConstant is the time constant of the demand estimate. The default is 30 s.
	DemandTimeConstant time.Duration
}

func (o PlannerOptions) withDefaults() PlannerOptions {
	if o.LoadsPerMinute <= 0 {
		o.LoadsPerMinute = 6
	}
	if o.LoadBurst <= 0 {
		o.LoadBurst = 2
	}
	if o.Hysteresis <= 0 {
		o.Hysteresis = 0.3
	}
	if o.MinDwell <= 0 {
		o.MinDwell = 2 * time.Minute
	}
	if o.LoadThreshold <= 0 {
		o.LoadThreshold = 0.7
	}
	if o.DemandTimeConstant <= 0 {
		o.DemandTimeConstant = 30 * time.Second
	}
	return o
}
