package loadmodel

import (
	"fmt"
	"math"
	"time"

	"github.com/borageflow/borageflow/internal/placement"
)

// Placement is a run of one pool of replicas under moving demand.
type Placement struct {
	Replicas, Domains, Versions int
	// Load is the mean demand relative to the replicas.
	Load float64
	// Swing is the relative amplitude of each version's demand, Period its time.
	Swing            float64
	Period, Duration time.Duration
	// Noise is the relative size of random changes of demand, drawn anew every
	// planning interval.
	Noise float64
	// LoadTime is how long a replica serves nothing while it loads a version.
	LoadTime time.Duration
	// Options are those of the planner; nil leaves the first placement in place.
	Options *placement.Options
	// RollAt stops using version 0 and starts using the last one.
	RollAt time.Duration
	// FailAt kills the replicas of the first failure domain for the rest.
	FailAt time.Duration
}

// PlacementResult is what a run measured.
type PlacementResult struct {
	// Useful is the mean share of paid replicas doing useful work.
	Useful float64
	// Served is the served part of the demand.
	Served float64
	Loads  int
	// MostLoads is the largest number of loads begun in any minute.
	MostLoads int
	// BelowMin counts seconds in which the planner's moves left a used version
	// with fewer serving replicas than its minimum.
	BelowMin int
	// OneDomain is the mean share of versions with two or more replicas that are
	// all in one failure domain.
	OneDomain float64
}

const (
	placementStep = time.Second
	planEvery     = 5
	minReplicas   = 1
)

type placementRun struct {
	Placement
	replicas []placement.Replica
	until    []int
	planner  *placement.Planner
	sim      *Sim
	noise    []float64
	result   PlacementResult
	begun    []int
	useful   float64
	served   float64
	wanted   float64
	oneSide  float64
}

// Run simulates the pool and returns the figures.
func (p Placement) Run() PlacementResult {
	run := &placementRun{Placement: p, sim: NewSim(1), noise: make([]float64, p.Versions), until: make([]int, p.Replicas)}
	first := p.Versions
	if p.RollAt > 0 {
		first--
	}
	for i := range p.Replicas {
		run.replicas = append(run.replicas, placement.Replica{
			Name: fmt.Sprintf("r%03d", i), FailureDomain: fmt.Sprint("d", (i/first)%p.Domains),
			Version: versionName(i % first), Healthy: true,
		})
	}
	if p.Options != nil {
		run.planner = placement.NewPlanner(*p.Options)
	}
	seconds := int(p.Duration / placementStep)
	run.begun = make([]int, seconds)
	for s := range seconds {
		run.second(s)
	}
	return run.finish(seconds)
}

func versionName(i int) string { return fmt.Sprintf("v%02d", i) }

// versions returns the demand at a second.
func (p *placementRun) versions(s int) []placement.Version {
	rolled := p.RollAt > 0 && time.Duration(s)*placementStep >= p.RollAt
	used := float64(p.Versions)
	if p.RollAt > 0 {
		used--
	}
	mean := p.Load * float64(p.Replicas) / used
	var out []placement.Version
	for i := range p.Versions {
		phase := 2 * math.Pi * (float64(s)*placementStep.Seconds()/p.Period.Seconds() + float64(i)/used)
		if s%planEvery == 0 {
			p.noise[i] = 1 + p.Noise*(2*p.sim.Rand.Float64()-1)
		}
		demand := mean * (1 + p.Swing*math.Sin(phase)) * p.noise[i]
		v := placement.Version{Name: versionName(i), Demand: demand, Min: minReplicas, Used: true}
		if p.RollAt > 0 && ((i == 0 && rolled) || (i == p.Versions-1 && !rolled)) {
			v.Demand, v.Used = 0, false
		}
		out = append(out, v)
	}
	return out
}

func (p *placementRun) second(s int) {
	if p.FailAt > 0 && time.Duration(s)*placementStep == p.FailAt {
		for i := range p.replicas {
			p.replicas[i].Healthy = p.replicas[i].FailureDomain != "d0"
		}
	}
	for i := range p.replicas {
		if r := &p.replicas[i]; r.Loading != "" && s >= p.until[i] {
			r.Version, r.Loading = r.Loading, ""
		}
	}
	versions := p.versions(s)
	if p.planner != nil && s%planEvery == 0 {
		p.plan(s, versions)
	}
	p.measure(versions)
}

func (p *placementRun) plan(s int, versions []placement.Version) {
	before := p.serving()
	now := Epoch.Add(time.Duration(s) * placementStep)
	for _, order := range p.planner.Plan(now, versions, p.replicas) {
		for i := range p.replicas {
			if r := &p.replicas[i]; r.Name == order.Replica {
				r.Loading, r.Version, r.Fence = order.Load, "", order.Fence
				p.until[i] = s + int(p.LoadTime/placementStep)
			}
		}
		p.result.Loads++
		p.begun[s]++
	}
	after := p.serving()
	for _, v := range versions {
		if v.Used && after[v.Name] < min(v.Min, before[v.Name]) {
			p.result.BelowMin++
		}
	}
}

func (p *placementRun) serving() map[string]int {
	out := map[string]int{}
	for _, r := range p.replicas {
		if r.Healthy && r.Version != "" {
			out[r.Version]++
		}
	}
	return out
}

func (p *placementRun) measure(versions []placement.Version) {
	serving := p.serving()
	domains := map[string]map[string]bool{}
	for _, r := range p.replicas {
		if domains[r.Version] == nil {
			domains[r.Version] = map[string]bool{}
		}
		domains[r.Version][r.FailureDomain] = true
	}
	for _, v := range versions {
		work := math.Min(v.Demand, float64(serving[v.Name]))
		p.useful += work / float64(p.Replicas)
		p.served += work
		p.wanted += v.Demand
		if serving[v.Name] > 1 && len(domains[v.Name]) == 1 {
			p.oneSide += 1 / float64(len(versions))
		}
	}
}

func (p *placementRun) finish(seconds int) PlacementResult {
	p.result.Useful = p.useful / float64(seconds)
	p.result.Served = p.served / p.wanted
	p.result.OneDomain = p.oneSide / float64(seconds)
	for s := range p.begun {
		sum := 0
		for _, n := range p.begun[s:min(s+60, seconds)] {
			sum += n
		}
		p.result.MostLoads = max(p.result.MostLoads, sum)
	}
	return p.result
}
