package forward

import (
	"math"
	"slices"
	"time"
)

// The workers of a service that runs cascades are divided into two pools: a light pool for
// the smallest model, which every request asks first, and a heavy pool for the larger
// models. A step of an engine takes as long as its slowest request, and a prompt for a
// large model takes as long as ten steps of a small one, so that a worker that runs both
// answers both late. The pools help at loads near the capacity of the workers and change
// nothing at low load.

const (
	// minPooledWorkers is the number of workers of one version from which they are divided
	// into pools.
	minPooledWorkers = 3
	// lightPoolShare is the fraction of workers in the light pool. Its exact value matters
	// little: between 0.17 and 0.36, the score of the days with the highest load differs by
	// less than 0.02.
	lightPoolShare = 0.25
)

// poolStats is the load of the two pools of one service, with the light pool at index 0.
type poolStats struct {
	// meanLoad and meanForeignLoad are the mean loads that the workers of a pool report: of
	// all requests, and of the requests of other processes.
	meanLoad, meanForeignLoad [2]float64
	// hasCascades is set once a heavy request was placed.
	hasCascades bool
	// reportsPace is set once a worker has stated how long work takes on it. speed, capacity and
	// meanTokens, the mean number of tokens that a request holds at a worker, are used only then.
	reportsPace bool
	speed       serviceSpeed
	capacity    Capacity
	meanTokens  float64
	// domains is the number of failure domains with workers of the service.
	domains int
	// started is the work of the requests that this process started in each pool, decayed as of
	// startedAt.
	started   [2]float64
	startedAt [2]Elapsed
	// meanWait is the mean time until the answers of a pool start.
	meanWait [2]time.Duration
	// timedWait and timedLoad are the decayed sums of the waits until answers began and of the loads,
	// in requests, at which they were placed.
	timedWait [2]time.Duration
	timedLoad [2]float64
	// timedAhead is the sum of the parts of these loads that the requests waited for.
	timedAhead [2]float64
	// statedLoad is the mean load that other processes state of the workers at home.
	statedLoad [2]float64
	// pressure is the mean pressure on the workers at home, see recordPressure, as of pressureAt.
	pressure   float64
	pressureAt Elapsed
}

// recordWait records the time until an answer started.
func (s *poolStats) recordWait(pool int, wait time.Duration) {
	if s.meanWait[pool] == 0 {
		s.meanWait[pool] = wait
	}
	s.meanWait[pool] += time.Duration(poolMeanGain * float64(wait-s.meanWait[pool]))
}

// startRateTime is the time over which the rate of started work is averaged.
const startRateTime = 2 * time.Second

// recordStart records the work of a request that was sent to a pool.
func (s *poolStats) recordStart(now Elapsed, pool int, work float64) {
	s.started[pool] = s.startRate(now, pool)*startRateTime.Seconds() + work
	s.startedAt[pool] = now
}

// startRate returns the work that this process starts in a pool, in requests a second.
func (s *poolStats) startRate(now Elapsed, pool int) float64 {
	return s.started[pool] / startRateTime.Seconds() * math.Exp(-float64(now-s.startedAt[pool])/float64(startRateTime))
}

func (p *Placer) statsFor(service string) *poolStats {
	stats := p.pools[service]
	if stats == nil {
		stats = &poolStats{}
		p.pools[service] = stats
	}
	return stats
}

// poolOf returns the index of the pool that serves heavy or other requests.
func (s *poolStats) poolOf(heavy bool) int {
	if heavy && s.hasCascades {
		return 1
	}
	return 0
}

// dividePools assigns the workers of each version to pools by the order of their hashes, so
// that all processes divide them nearly alike.
func (p *Placer) dividePools() {
	for service, list := range p.services {
		stats := p.statsFor(service)
		byVersion := map[string][]*workerState{}
		domains := map[string]bool{}
		for _, s := range list {
			domains[s.FailureDomain] = true
			byVersion[s.Version] = append(byVersion[s.Version], s)
		}
		stats.domains = len(domains)
		for _, group := range byVersion {
			slices.SortFunc(group, func(a, b *workerState) int {
				if a.hash < b.hash {
					return -1
				}
				return 1
			})
			lightWorkers := max(int(lightPoolShare*float64(len(group))+0.5), 1)
			for i, s := range group {
				s.pooled = stats.hasCascades && len(group) >= minPooledWorkers
				s.heavy = i >= lightWorkers
			}
		}
	}
}

// markCascading records that a service runs cascades.
func (p *Placer) markCascading(service string) {
	if stats := p.statsFor(service); !stats.hasCascades {
		stats.hasCascades = true
		p.dividePools()
	}
}
