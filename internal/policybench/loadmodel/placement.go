package loadmodel

import (
	"fmt"
	"math"
	"time"

	"github.com/borageflow/borageflow/internal/placement"
)

// PlacementModel simulates a pool of replicas under varying demand.
type PlacementModel struct {
	Replicas, Domains, Versions int
	// Load is the mean demand as a fraction of the replicas.
	Load float64
	// DemandAmplitude is the relative amplitude of each version's sinusoidal demand and Period
	// its period.
	DemandAmplitude  float64
	Period, Duration time.Duration
	// Noise is the relative amplitude of random changes of demand, which are drawn for
	// each planning interval.
	Noise float64
	// LoadTime is the time for which a replica serves no requests while it loads a
	// version.
	LoadTime time.Duration
	// Options holds the options of the planner; nil keeps the initial placement.
	Options *placement.PlannerOptions
	// RolloutAt is the time at which the last version replaces version 0; 0 means never.
	RolloutAt time.Duration
	// FailAt is the time at which the replicas of the first failure domain fail for
	// the rest of the run; 0 means never.
	FailAt time.Duration
}

// PlacementResult holds the figures of a PlacementModel run.
type PlacementResult struct {
	// UsefulShare is the mean fraction of all replicas that serve demand.
	UsefulShare float64
	// ServedShare is the fraction of the demand that was served.
	ServedShare float64
	Loads       int
	// MaxLoadsPerMinute is the maximum number of loads begun in any minute.
	MaxLoadsPerMinute int
	// MinViolations is the number of times that a plan left a used version with fewer
	// serving replicas than its minimum.
	MinViolations int
	// SingleDomainShare is the mean fraction of versions that have two or more replicas, all
	// of them in one failure domain.
	SingleDomainShare float64
}

const (
	placementStep     = time.Second
	planIntervalSteps = 5
	minReplicas       = 1
)

type placementRun struct {
	PlacementModel
	replicas        []placement.Replica
	loadedAtSecond  []int
	planner         *placement.Planner
	sim             *Sim
	noise           []float64
	result          PlacementResult
	loadsPerSecond  []int
	usefulSum       float64
	servedSum       float64
	demandSum       float64
	singleDomainSum float64
}

// Run simulates the pool for Duration and returns the figures.
func (p PlacementModel) Run() PlacementResult {
	run := &placementRun{PlacementModel: p, sim: NewSim(1), noise: make([]float64, p.Versions), loadedAtSecond: make([]int, p.Replicas)}
	first := p.Versions
	if p.RolloutAt > 0 {
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
	run.loadsPerSecond = make([]int, seconds)
	for s := range seconds {
		run.runSecond(s)
	}
	return run.summarize(seconds)
}

func versionName(i int) string { return fmt.Sprintf("v%02d", i) }

// versionsAt returns the versions with their demand at second s. It draws new noise at the start
// of each planning interval.
func (p *placementRun) versionsAt(s int) []placement.Version {
	rolledOut := p.RolloutAt > 0 && time.Duration(s)*placementStep >= p.RolloutAt
	used := float64(p.Versions)
	if p.RolloutAt > 0 {
		used--
	}
	mean := p.Load * float64(p.Replicas) / used
	var out []placement.Version
	for i := range p.Versions {
		phase := 2 * math.Pi * (float64(s)*placementStep.Seconds()/p.Period.Seconds() + float64(i)/used)
		if s%planIntervalSteps == 0 {
			p.noise[i] = 1 + p.Noise*(2*p.sim.Rand.Float64()-1)
		}
		demand := mean * (1 + p.DemandAmplitude*math.Sin(phase)) * p.noise[i]
		v := placement.Version{Name: versionName(i), Demand: demand, Min: minReplicas, Used: true}
		if p.RolloutAt > 0 && ((i == 0 && rolledOut) || (i == p.Versions-1 && !rolledOut)) {
			v.Demand, v.Used = 0, false
		}
		out = append(out, v)
	}
	return out
}

func (p *placementRun) runSecond(s int) {
	if p.FailAt > 0 && time.Duration(s)*placementStep == p.FailAt {
		for i := range p.replicas {
			p.replicas[i].Healthy = p.replicas[i].FailureDomain != "d0"
		}
	}
	for i := range p.replicas {
		if r := &p.replicas[i]; r.Loading != "" && s >= p.loadedAtSecond[i] {
			r.Version, r.Loading = r.Loading, ""
		}
	}
	versions := p.versionsAt(s)
	if p.planner != nil && s%planIntervalSteps == 0 {
		p.applyPlan(s, versions)
	}
	p.addMeasurement(versions)
}

func (p *placementRun) applyPlan(s int, versions []placement.Version) {
	before := p.servingReplicas()
	now := Epoch.Add(time.Duration(s) * placementStep)
	for _, order := range p.planner.Plan(now, versions, p.replicas) {
		for i := range p.replicas {
			if r := &p.replicas[i]; r.Name == order.Replica {
				r.Loading, r.Version, r.Fence = order.Load, "", order.Fence
				p.loadedAtSecond[i] = s + int(p.LoadTime/placementStep)
			}
		}
		p.result.Loads++
		p.loadsPerSecond[s]++
	}
	after := p.servingReplicas()
	for _, v := range versions {
		if v.Used && after[v.Name] < min(v.Min, before[v.Name]) {
			p.result.MinViolations++
		}
	}
}

func (p *placementRun) servingReplicas() map[string]int {
	out := map[string]int{}
	for _, r := range p.replicas {
		if r.Healthy && r.Version != "" {
			out[r.Version]++
		}
	}
	return out
}

func (p *placementRun) addMeasurement(versions []placement.Version) {
	serving := p.servingReplicas()
	domains := map[string]map[string]bool{}
	for _, r := range p.replicas {
		if domains[r.Version] == nil {
			domains[r.Version] = map[string]bool{}
		}
		domains[r.Version][r.FailureDomain] = true
	}
	for _, v := range versions {
		work := math.Min(v.Demand, float64(serving[v.Name]))
		p.usefulSum += work / float64(p.Replicas)
		p.servedSum += work
		p.demandSum += v.Demand
		if serving[v.Name] > 1 && len(domains[v.Name]) == 1 {
			p.singleDomainSum += 1 / float64(len(versions))
		}
	}
}

func (p *placementRun) summarize(seconds int) PlacementResult {
	p.result.UsefulShare = p.usefulSum / float64(seconds)
	p.result.ServedShare = p.servedSum / p.demandSum
	p.result.SingleDomainShare = p.singleDomainSum / float64(seconds)
	for s := range p.loadsPerSecond {
		sum := 0
		for _, n := range p.loadsPerSecond[s:min(s+60, seconds)] {
			sum += n
		}
		p.result.MaxLoadsPerMinute = max(p.result.MaxLoadsPerMinute, sum)
	}
	return p.result
}
