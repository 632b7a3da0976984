package forward

// LeavingCause is why a request was sent to a worker in another failure domain.
type LeavingCause string

// The causes. A request that has several is counted for the first that leaves no worker at home.
const (
	// StaysHome stands for a worker in the failure domain of this process.
	StaysHome LeavingCause = ""
	// LeftNoWorker means that no worker at home may get the request.
	LeftNoWorker LeavingCause = "no_worker"
	// LeftSession, LeftRollout and LeftRepeat mean that workers at home may get requests, but not this one:
	// for the version of its session, for a step of a rollout, or because they have had it already.
	LeftSession LeavingCause = "session"
	LeftRollout LeavingCause = "rollout"
	LeftRepeat  LeavingCause = "repeat"
	// LeftCache and LeftRendezvous mean that the worker has cached parts of the prompt, or is the one that
	// all processes send it to.
	LeftCache      LeavingCause = "prompt_cache"
	LeftRendezvous LeavingCause = "rendezvous"
	// LeftEscalation and LeftLoad mean that the answer is expected to begin sooner: one of a larger model
	// of a cascade, or another.
	LeftEscalation LeavingCause = "escalation"
	LeftLoad       LeavingCause = "load"
)

// LeavingCauses lists the causes of requests that leave.
var LeavingCauses = []LeavingCause{LeftNoWorker, LeftSession, LeftRollout, LeftRepeat, LeftCache, LeftRendezvous, LeftEscalation, LeftLoad}

// isChosen reports whether a worker at home could have got the request.
func (c LeavingCause) isChosen() bool { return c == StaysHome || c == LeftLoad || c == LeftEscalation }

// causeOfLeast returns why the least loaded worker is in another failure domain.
func (p *Placer) causeOfLeast(now Elapsed, s *workerState, q *WorkerQuery) LeavingCause {
	if s.FailureDomain == p.opts.FailureDomain {
		return StaysHome
	}
	mayGet, isAllowed := false, false
	for _, home := range p.services[q.Service] {
		if home.FailureDomain != p.opts.FailureDomain || !home.mayGet(now, q) {
			continue
		}
		mayGet = true
		if q.Allowed != nil && !q.Allowed(home.Version) {
			continue
		}
		isAllowed = true
		if home.matches(q) {
			if q.Heavy {
				return LeftEscalation
			}
			return LeftLoad
		}
	}
	switch {
	case !mayGet:
		return LeftNoWorker
	case isAllowed:
		return LeftRepeat
	case q.IsPinned:
		return LeftSession
	}
	return LeftRollout
}

// causeOfAffinity returns why a worker that was preferred for its prompt cache is in another failure domain.
func (p *Placer) causeOfAffinity(s *workerState, cachedTokens int) LeavingCause {
	switch {
	case s.FailureDomain == p.opts.FailureDomain:
		return StaysHome
	case cachedTokens > 0:
		return LeftCache
	}
	return LeftRendezvous
}
