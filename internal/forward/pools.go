package forward

import "slices"

// The workers of a service that runs cascades are divided into two pools: a light one for
// the smallest model, which every request asks first, and a heavy one for the larger
// models. A step of an engine takes as long as its slowest request needs, and a prompt for
// a large model holds up ten steps of a small one, so that mixed workers answer both late.
// This serves loads near the capacity of the workers; at low load it changes nothing.

const (
	// minPoolWorkers is the number of workers of one version from which they are divided.
	minPoolWorkers = 5
	// firstLightShare is the share of the light pool before any load is known.
	firstLightShare = 0.25
	minLightShare   = 0.10
	maxLightShare   = 0.50
	// lightStep is the change of the share in one tick.
	lightStep = 0.005
	// poolTolerance is the relative difference of the loads that changes nothing.
	poolTolerance = 0.15
	// idleLoad is the mean load below which there is nothing to balance, in requests a worker.
	idleLoad = 1.0
)

// lightShare is the share of a service's workers in its light pool.
type lightShare struct {
	share float64
	// total and others are the means of the loads that workers of the light and of the heavy
	// pool stated: all requests, and those of other processes.
	total, others [2]float64
	// cascades is set once a heavy request was placed.
	cascades bool
}

func (p *Placer) light(service string) *lightShare {
	l := p.lights[service]
	if l == nil {
		l = &lightShare{share: firstLightShare}
		p.lights[service] = l
	}
	return l
}

// dividePools assigns the workers of each version by the order of their hashes, so that
// all processes divide them nearly alike.
func (p *Placer) dividePools() {
	for service, list := range p.services {
		light := p.light(service)
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
			border := max(int(light.share*float64(len(group))+0.5), 1)
			for i, s := range group {
				s.divided = light.cascades && len(group) >= minPoolWorkers
				s.heavy = i >= border
			}
		}
	}
}

// Balance moves the border between the pools of each service towards equal loads. It is
// called at each tick.
func (p *Placer) Balance() {
	changed := false
	for service, list := range p.services {
		light := p.light(service)
		if !slices.ContainsFunc(list, func(s *placed) bool { return s.divided }) {
			continue
		}
		lightLoad, heavyLoad := light.total[0], light.total[1]
		switch {
		case lightLoad < idleLoad && heavyLoad < idleLoad:
		case lightLoad > heavyLoad*(1+poolTolerance):
			light.share = min(light.share+lightStep, maxLightShare)
			changed = true
		case heavyLoad > lightLoad*(1+poolTolerance):
			light.share = max(light.share-lightStep, minLightShare)
			changed = true
		}
	}
	if changed {
		p.dividePools()
	}
}

// sawHeavy records that a service runs cascades.
func (p *Placer) sawHeavy(service string) {
	if light := p.light(service); !light.cascades {
		light.cascades = true
		p.dividePools()
	}
}
