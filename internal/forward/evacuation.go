package forward

import "slices"

// Evacuations is the set of failure domains whose workers get no new requests by order of an operator.
// After the store has come back from an older copy, an order that the copy lacks is retained for the
// grace period, in which the operator's orders are written again.
type Evacuations struct {
	gracePeriod Elapsed
	// domains holds the evacuated failure domains. The value is the end of the grace period of an
	// order that the store lacks, 0 of one that it holds.
	domains map[string]Elapsed
	// revision is that of the last update.
	revision int64
}

// NewEvacuations returns an empty set; grace is the grace period of orders that a restored store lacks.
func NewEvacuations(grace Elapsed) *Evacuations {
	return &Evacuations{gracePeriod: grace, domains: map[string]Elapsed{}}
}

// Contains reports whether a failure domain is evacuated.
func (e *Evacuations) Contains(domain string) bool {
	_, ok := e.domains[domain]
	return ok
}

// Domains returns the evacuated failure domains in order.
func (e *Evacuations) Domains() []string {
	out := make([]string, 0, len(e.domains))
	for domain := range e.domains {
		out = append(out, domain)
	}
	slices.Sort(out)
	return out
}

// Apply applies a full list of orders or a list of changes. It returns the failure domains whose
// evacuation began and ended.
func (e *Evacuations) Apply(now Elapsed, u *Update) (began, ended []string) {
	restored := e.revision != 0 && IsNewerEra(u.Revision, e.revision)
	e.revision = u.Revision
	listed := map[string]bool{}
	for _, change := range u.Evacuations {
		domain := change.FailureDomain
		switch {
		case !change.Removed:
			listed[domain] = true
			if !e.Contains(domain) {
				began = append(began, domain)
			}
			e.domains[domain] = 0
		case !e.Contains(domain):
		case restored:
			e.retain(now, domain) // a relay passes the list of a restored store on as removals
		default:
			delete(e.domains, domain)
			ended = append(ended, domain)
		}
	}
	if !u.Full {
		return began, ended
	}
	for domain, until := range e.domains {
		switch {
		case listed[domain]:
		case restored:
			e.retain(now, domain)
		case until == 0 || now >= until:
			delete(e.domains, domain)
			ended = append(ended, domain)
		}
	}
	slices.Sort(ended)
	return began, ended
}

// retain keeps an order that a restored store lacks for the grace period.
func (e *Evacuations) retain(now Elapsed, domain string) {
	if e.domains[domain] == 0 {
		e.domains[domain] = now + e.gracePeriod
	}
}

// Expire ends the evacuations whose grace period has passed and returns their failure domains.
func (e *Evacuations) Expire(now Elapsed) (ended []string) {
	for domain, until := range e.domains {
		if until != 0 && now >= until {
			delete(e.domains, domain)
			ended = append(ended, domain)
		}
	}
	slices.Sort(ended)
	return ended
}

// SetEvacuated sets the failure domains whose workers get no new requests.
func (p *Placer) SetEvacuated(domains []string) {
	p.evacuated = domains
	for _, s := range p.workers {
		s.evacuated = slices.Contains(domains, s.FailureDomain)
	}
}

// AllEvacuated reports whether a service has workers and all of them are in evacuated failure domains.
func (p *Placer) AllEvacuated(service string) bool {
	list := p.services[service]
	return len(list) > 0 && !slices.ContainsFunc(list, func(s *workerState) bool { return !s.evacuated })
}
