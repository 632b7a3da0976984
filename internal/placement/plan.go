package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Planner decides which replicas of one pool load which version.
type Planner struct {
	opts PlannerOptions
	// demandEstimates holds the estimates by version.
	demandEstimates map[string]*demandEstimate
	// movedAt holds the time of the last order by replica.
	movedAt map[string]time.Time
	// loadTokens is the token bucket of the weight store's load rate.
	loadTokens float64
	refilledAt time.Time
}

// demandEstimate is an exponentially weighted moving average of a version's demand.
type demandEstimate struct {
	value     float64
	updatedAt time.Time
}

// NewPlanner returns a Planner without a history of demand and moves. Its first plan
// may contain opts.LoadBurst orders.
func NewPlanner(opts PlannerOptions) *Planner {
	opts = opts.withDefaults()
	return &Planner{
		opts: opts, demandEstimates: map[string]*demandEstimate{}, movedAt: map[string]time.Time{},
		loadTokens: float64(opts.LoadBurst),
	}
}

// planRun is the state of one call of Plan.
type planRun struct {
	*Planner
	now      time.Time
	versions []*versionState
	replicas []*Replica
	orders   []Order
}

// versionState contains the demand of a version and the number of its replicas.
// replicaCount and countByDomain include replicas that are loading the version,
// servingCount does not.
type versionState struct {
	Version
	demand        float64
	replicaCount  int
	servingCount  int
	countByDomain map[string]int
}

// Plan returns the orders to give now. Versions below their minimum take replicas
// first. Then the version with the highest load per replica takes replicas from the
// versions that would have the lowest load per replica afterwards. The inputs are not
// modified.
func (p *Planner) Plan(now time.Time, versions []Version, replicas []Replica) []Order {
	p.refillLoadTokens(now)
	run := &planRun{Planner: p, now: now}
	for _, v := range versions {
		run.versions = append(run.versions, &versionState{Version: v, demand: p.smoothedDemand(now, v), countByDomain: map[string]int{}})
	}
	slices.SortFunc(run.versions, func(a, b *versionState) int { return cmp.Compare(a.Name, b.Name) })
	p.prune(run.versions, replicas)
	for _, r := range replicas {
		run.addReplica(&r)
	}
	slices.SortFunc(run.replicas, func(a, b *Replica) int { return cmp.Compare(a.Name, b.Name) })
	for p.loadTokens >= 1 && run.addMove() {
		p.loadTokens--
	}
	return run.orders
}

// TakeLoadToken counts an order that repeats an earlier one against the load rate of the
// weight store. It returns false if the rate is exhausted.
func (p *Planner) TakeLoadToken(now time.Time) bool {
	p.refillLoadTokens(now)
	if p.loadTokens < 1 {
		return false
	}
	p.loadTokens--
	return true
}

// TakeOver prepares the planner to continue after another planner whose orders are
// not known: it gives no orders until the load rate allows one, and moves no replica
// for load until the dwell time has passed.
func (p *Planner) TakeOver(now time.Time, replicas []Replica) {
	p.loadTokens = 0
	for _, r := range replicas {
		p.movedAt[r.Name] = now
	}
}

func (p *Planner) refillLoadTokens(now time.Time) {
	if !p.refilledAt.IsZero() && now.After(p.refilledAt) {
		p.loadTokens += now.Sub(p.refilledAt).Minutes() * p.opts.LoadsPerMinute
		p.loadTokens = math.Min(p.loadTokens, float64(p.opts.LoadBurst))
	}
	if now.After(p.refilledAt) {
		p.refilledAt = now
	}
}

// smoothedDemand updates and returns the exponentially weighted moving average of a
// version's demand.
func (p *Planner) smoothedDemand(now time.Time, v Version) float64 {
	demand := math.Max(v.Demand, 0)
	e, ok := p.demandEstimates[v.Name]
	if !ok {
		p.demandEstimates[v.Name] = &demandEstimate{demand, now}
		return demand
	}
	if age := now.Sub(e.updatedAt); age > 0 {
		e.value += (demand - e.value) * -math.Expm1(-age.Seconds()/p.opts.DemandTimeConstant.Seconds())
		e.updatedAt = now
	}
	return e.value
}

// prune deletes the state of versions and replicas that no longer exist.
func (p *Planner) prune(versions []*versionState, replicas []Replica) {
	for name := range p.movedAt {
		if !slices.ContainsFunc(replicas, func(r Replica) bool { return r.Name == name }) {
			delete(p.movedAt, name)
		}
	}
	for name := range p.demandEstimates {
		if !slices.ContainsFunc(versions, func(v *versionState) bool { return v.Name == name }) {
			delete(p.demandEstimates, name)
		}
	}
}

// addReplica counts a replica for its version. Unhealthy replicas are not counted and
// get no orders.
func (p *planRun) addReplica(r *Replica) {
	if !r.Healthy {
		return
	}
	p.replicas = append(p.replicas, r)
	if v := p.findVersion(cmp.Or(r.Loading, r.Version)); v != nil {
		v.replicaCount++
		v.countByDomain[r.FailureDomain]++
		if r.Loading == "" {
			v.servingCount++
		}
	}
}

func (p *planRun) findVersion(name string) *versionState {
	for _, v := range p.versions {
		if v.Name == name {
			return v
		}
	}
	return nil
}

func (v *versionState) minReplicas() int {
	if !v.Used {
		return 0
	}
	return max(v.Min, 1)
}

// loadPerReplica returns the demand per replica with n replicas. It is infinite if a
// used version has demand but no replica.
func (v *versionState) loadPerReplica(n int) float64 {
	switch {
	case !v.Used || v.demand <= 0:
		return 0
	case n <= 0:
		return math.Inf(1)
	}
	return v.demand / float64(n)
}

// addMove plans the most urgent move, if any, and reports whether it planned one.
func (p *planRun) addMove() bool {
	for _, v := range p.versions {
		if v.replicaCount < v.minReplicas() && p.assign(v, "below its minimum", p.loadWithout) {
			return true
		}
	}
	var busiest *versionState
	for _, v := range p.versions {
		if v.Used && (busiest == nil || v.loadPerReplica(v.replicaCount) > busiest.loadPerReplica(busiest.replicaCount)) {
			busiest = v
		}
	}
	if busiest == nil {
		return false
	}
	if busiest.loadPerReplica(busiest.replicaCount) < p.opts.LoadThreshold {
		return p.assignEmptyReplica()
	}
	assigned := p.assign(busiest, "load per replica", func(r *Replica) (float64, bool) {
		load, ok := p.loadWithout(r)
		beneficial := busiest.loadPerReplica(busiest.replicaCount) > (1+p.opts.Hysteresis)*load
		return load, ok && beneficial && !p.isDwelling(r)
	})
	return assigned || p.assignEmptyReplica()
}

// assignEmptyReplica assigns an empty replica to the used version with the highest load
// per replica, in a tie to the one with the fewest replicas. A paid replica that holds
// no version does no work.
func (p *planRun) assignEmptyReplica() bool {
	var best *versionState
	for _, v := range p.versions {
		if !v.Used {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(v.loadPerReplica(v.replicaCount), best.loadPerReplica(best.replicaCount)), cmp.Compare(best.replicaCount, v.replicaCount)) > 0 {
			best = v
		}
	}
	return best != nil && p.assign(best, "empty replica", func(r *Replica) (float64, bool) {
		return 0, r.Version == "" && r.Loading == ""
	})
}

// loadWithout returns the load per replica that the version of r would have without r,
// and whether r may be taken. A used version keeps its minimum of serving replicas;
// replicas that are loading it do not count.
func (p *planRun) loadWithout(r *Replica) (load float64, ok bool) {
	if r.Loading != "" {
		return 0, false
	}
	v := p.findVersion(r.Version)
	if v == nil || !v.Used {
		return 0, true
	}
	return v.loadPerReplica(v.replicaCount - 1), v.servingCount-1 >= v.minReplicas()
}

func (p *planRun) isDwelling(r *Replica) bool {
	at, ok := p.movedAt[r.Name]
	return ok && p.now.Sub(at) < p.opts.MinDwell
}

// assign plans to load v on the best eligible replica and reports whether there is one.
// The best replica is the one whose version has the lowest load per replica without it.
// Ties are broken by the fewest replicas of v in the failure domain, then by the most
// replicas of the other version in it, then by the fewest running requests. eligible
// returns that load per replica, and whether the replica may be taken.
func (p *planRun) assign(v *versionState, reason string, eligible func(*Replica) (float64, bool)) bool {
	var best *Replica
	var bestLoad float64
	for _, r := range p.replicas {
		if r.Version == v.Name || r.Loading == v.Name {
			continue
		}
		load, ok := eligible(r)
		if ok && (best == nil || p.isBetter(v, r, load, best, bestLoad)) {
			best, bestLoad = r, load
		}
	}
	if best == nil {
		return false
	}
	p.recordMove(v, best, reason)
	return true
}

func (p *planRun) isBetter(v *versionState, a *Replica, loadA float64, b *Replica, loadB float64) bool {
	return cmp.Or(
		cmp.Compare(loadA, loadB),
		cmp.Compare(v.countByDomain[a.FailureDomain], v.countByDomain[b.FailureDomain]),
		cmp.Compare(p.versionCountInDomain(b), p.versionCountInDomain(a)),
		cmp.Compare(a.Running, b.Running),
	) < 0
}

// versionCountInDomain returns the number of replicas in r's failure domain that have
// the same version as r.
func (p *planRun) versionCountInDomain(r *Replica) int {
	if v := p.findVersion(r.Version); v != nil {
		return v.countByDomain[r.FailureDomain]
	}
	return 0
}

func (p *planRun) recordMove(v *versionState, r *Replica, reason string) {
	if previous := p.findVersion(r.Version); previous != nil {
		previous.replicaCount--
		previous.servingCount--
		previous.countByDomain[r.FailureDomain]--
	}
	v.replicaCount++
	v.countByDomain[r.FailureDomain]++
	p.orders = append(p.orders, Order{
		Replica: r.Name, Fence: r.Fence + 1, Unload: r.Version, Load: v.Name, Reason: reason,
	})
	r.Loading = v.Name
	p.movedAt[r.Name] = p.now
}
