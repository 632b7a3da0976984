package forward

import "slices"

// The workers of a service that runs cascades are divided into two pools: a light one for
// the smallest model, which every request asks first, and a heavy one for the larger
// models. A step of an engine takes as long as its slowest request needs, and a prompt for
// a large model holds up ten steps of a small one, so that mixed workers answer both late.
// This serves loads near the capacity of the workers; at low load it changes nothing.

const (
	// minPoolWorkers is the number of workers of one version from which they are divided.
	minPoolWorkers = 3
	// lightShare is the share of the light pool. Between 0.17 and 0.36 the heaviest days of
	// the deployments changed by less than 0.02 of worth.
	lightShare = 0.25
)

// pools is what is known of the pools of one service.
type pools struct {
	// total and others are the means of the loads that workers of the light and of the heavy
	// pool stated: all requests, and those of other processes.
	total, others [2]float64
	// cascades is set once a heavy request was placed.
	cascades bool
}

func (p *Placer) poolsOf(service string) *pools {
	l := p.pools[service]
	if l == nil {
		l = &pools{}
		p.pools[service] = l
	}
	return l
}

// dividePools assigns the workers of each version by the order of their hashes, so that
// all processes divide them nearly alike.
func (p *Placer) dividePools() {
	for service, list := range p.services {
		held := p.poolsOf(service)
		byVersion := map[string][]*placed{}
		for _, s := range list {
			byVersion[s.Version] = append(byVersion[s.Version], s)
		}
		for _, group := range byVersion {
			slices.SortFunc(group, func(a, b *placed) int {
				if a.hash < b.hash {
					return -1
				}
				return 1
			})
			border := max(int(lightShare*float64(len(group))+0.5), 1)
			for i, s := range group {
				s.divided = held.cascades && len(group) >= minPoolWorkers
				s.heavy = i >= border
			}
		}
	}
}

// sawHeavy records that a service runs cascades.
func (p *Placer) sawHeavy(service string) {
	if held := p.poolsOf(service); !held.cascades {
		held.cascades = true
		p.dividePools()
	}
}
