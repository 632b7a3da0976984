package forward

import (
	"math"
	"time"
)

// estimatedLoad returns the estimated load of a worker in requests, weighted as in ownLoad:
// that of this process, and that of other processes from the worker's last report. An old
// report decays to the mean of the pool, because a worker without reports is no less loaded
// than the others.
func (p *Placer) estimatedLoad(now Elapsed, s *workerState) float64 {
	if s.notice != nil && s.notice.coldLimit(now) != nil {
		// The limit keeps the load of the other processes low. With the mean of the pool instead,
		// the permits of cold workers lapsed unused.
		return p.ownLoad(s)
	}
	if s.hasPeerLoad && now-s.peerLoadAt <= p.opts.PeerLoadTTL && p.usesPeerLoads(s.stats, s.poolIndex()) {
		return p.ownLoad(s) + s.peerLoad
	}
	foreignLoad := s.stats.meanForeignLoad[s.poolIndex()]
	if s.hasReport {
		reported := max(p.reportedLoad(s)-s.ownLoadAtReport, 0)
		foreignLoad += (reported - foreignLoad) * math.Exp2(-float64(now-s.reportedAt)/float64(p.opts.ReportHalfLife))
	}
	return p.ownLoad(s) + foreignLoad
}

// RecordStart records that a request was sent to a worker, which is then expected to cache
// the parts of its prompt. cachedTokens is the part of the prompt that it need not read.
func (p *Placer) RecordStart(now Elapsed, id, model string, prompt []PromptPart, cachedTokens int) *InFlight {
	s := p.workers[id]
	if s == nil {
		return nil
	}
	stats := p.statsFor(s.Service)
	f := &InFlight{worker: s, work: p.promptWork(prompt, cachedTokens), startedAt: now, stats: stats, pool: s.poolIndex()}
	load := p.estimatedLoad(now, s)
	f.load, f.ahead = load+f.work, p.loadAhead(s, load)+f.work
	f.model, f.readsPrompt, f.wasNearlyFull = model, len(prompt) > 0, s.isNearlyFull()
	f.tokens = heldTokens(prompt, cachedTokens)
	stats.recordTokens(f.tokens)
	s.inFlight++
	s.tokens += f.tokens
	s.unreadWork += f.work
	p.recordSent(now, s)
	stats.recordStart(now, f.pool, f.work)
	for _, part := range prompt {
		p.recordCached(now, partKey{part.ID, model}, s)
	}
	return f
}

// promptWork returns the work of a request until its answer starts, in requests of
// TokensPerWork tokens. A request without a prompt counts as one.
func (p *Placer) promptWork(prompt []PromptPart, cachedTokens int) float64 {
	if len(prompt) == 0 {
		return 1
	}
	tokens := -cachedTokens
	for _, part := range prompt {
		tokens += part.Tokens
	}
	return minPromptWork + float64(max(tokens, 0))/p.opts.TokensPerWork
}

// minPromptWork is the work of a request whose whole prompt is cached: the steps of the engine
// that it waits for.
const minPromptWork = 0.2

// InFlight is a request in flight at a worker. A nil *InFlight stands for a request at a worker
// that is not known any more.
type InFlight struct {
	worker *workerState
	work   float64
	// load is the estimated load of the worker with this request, when it was placed, and ahead the part of
	// it that the request waited for.
	load, ahead float64
	answering   bool
	startedAt   Elapsed
	// wait is the time until the answer started. wasNearlyFull reports whether the worker was nearly full
	// when the request was placed.
	wait          time.Duration
	wasNearlyFull bool
	model         string
	readsPrompt   bool
	tokens        float64
	// stats are those of the service, and pool is the index of the pool in them.
	stats *poolStats
	pool  int
}

// AnswerStarted records that the answer of the request has started.
func (f *InFlight) AnswerStarted(now Elapsed) {
	if f == nil || f.answering {
		return
	}
	f.stats.recordTimed(f.pool, now-f.startedAt, f.load, f.ahead)
	f.RefusalStarted(now)
}

// RefusalStarted records that the worker has refused the request or failed it. That comes at once and says nothing of
// how long a request waits at its load.
func (f *InFlight) RefusalStarted(now Elapsed) {
	if f == nil || f.answering {
		return
	}
	f.stats.recordWait(f.pool, now-f.startedAt)
	f.answering, f.wait = true, now-f.startedAt
	f.worker.unreadWork = max(f.worker.unreadWork-f.work, 0)
	f.worker.answering++
}

// End records that the request has ended. It must be called once.
func (f *InFlight) End() {
	if f == nil {
		return
	}
	f.worker.inFlight--
	if f.worker.tokens = max(f.worker.tokens-f.tokens, 0); f.worker.inFlight == 0 {
		f.worker.tokens = 0 // discards rounding errors
	}
	switch {
	case f.answering:
		f.worker.answering--
	default:
		f.worker.unreadWork = max(f.worker.unreadWork-f.work, 0)
	}
}

// SetPeerLoads sets the load that the other processes together cause at each worker, by ID, and
// the number of processes, this one included.
func (p *Placer) SetPeerLoads(now Elapsed, processes int, loads func(id string) float64) {
	p.peerInterval = min(now-p.peersAt, p.opts.PeerLoadTTL)
	p.peers, p.peersAt = processes, now
	for id, s := range p.workers {
		s.peerLoad, s.peerLoadAt, s.hasPeerLoad = loads(id), now, true
	}
	p.updateStatedLoads()
}

// OwnLoads calls report for each worker at which this process causes a load.
func (p *Placer) OwnLoads(report func(id string, load float64)) {
	for id, s := range p.workers {
		if load := p.ownLoad(s); load > 0 {
			report(id, load)
		}
	}
}

// RecordLoad records the load that a worker reported in an answer.
func (p *Placer) RecordLoad(now Elapsed, id string, load Load) {
	s := p.workers[id]
	if s == nil {
		return
	}
	s.load, s.reportedAt, s.ownLoadAtReport, s.hasReport = load, now, p.ownLoad(s), true
	s.inFlightAtReport = s.inFlight
	s.recordPace(load.Pace)
	stats := s.stats
	reported := p.reportedLoad(s)
	stats.meanLoad[s.poolIndex()] += poolMeanGain * (reported - stats.meanLoad[s.poolIndex()])
	stats.meanForeignLoad[s.poolIndex()] += poolMeanGain * (max(reported-s.ownLoadAtReport, 0) - stats.meanForeignLoad[s.poolIndex()])
}

// poolMeanGain is the weight of one report in the mean load of a pool. The mean covers
// about twenty reports, which an instance receives within a few seconds.
const poolMeanGain = 0.05

// poolIndex returns the index of the worker's pool in poolStats: 1 for the heavy pool, 0
// otherwise.
func (s *workerState) poolIndex() int {
	if s.pooled && s.heavy {
		return 1
	}
	return 0
}

// LoadEstimate returns the estimated load of a worker, as in Placement.Load, and the age of
// its last report, which is negative if there is none.
func (p *Placer) LoadEstimate(now Elapsed, id string) (float64, time.Duration) {
	s := p.workers[id]
	if s == nil {
		return 0, -1
	}
	if !s.hasReport {
		return p.estimatedLoad(now, s), -1
	}
	return p.estimatedLoad(now, s), now - s.reportedAt
}

// runningWeight is the load of a request whose answer has started, relative to one whose
// prompt is still to be read, on a model engine. A running answer makes each step about 2%
// longer, while a prompt delays all other requests by about ten steps. With equal weights,
// workers with many running answers and no queued prompts were passed over in favor of
// workers with a queue of prompts.
const runningWeight = 0.1

// answeringWeight returns the weight of a request whose answer has started. Only engines
// read prompts; on plain workers, all requests weigh the same.
func (p *Placer) answeringWeight(s *workerState) float64 {
	if s.stats.hasCascades {
		return runningWeight
	}
	return 1
}

// reportedLoad returns the weighted load from the last report of a worker.
func (p *Placer) reportedLoad(s *workerState) float64 {
	return p.answeringWeight(s)*float64(s.load.Running) + float64(s.load.Waiting)
}

// ownLoad returns the weighted load that this process causes at a worker.
func (p *Placer) ownLoad(s *workerState) float64 {
	return s.unreadWork + p.answeringWeight(s)*float64(s.answering)
}
