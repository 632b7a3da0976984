package quarantine

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxKnownParts bounds the parts whose finished requests a Tracker counts. The one that was seen
	// last the longest time ago yields.
	maxKnownParts = 16384
	// commonFinishes is the number of requests with a part that must have finished lately at a gateway
	// for the part to be a common one. The first parts of prompts are in nearly every request, and so
	// under nearly every worker that ends.
	commonFinishes = 8
	// finishedTTL is how long finished requests are remembered, from the last one on.
	finishedTTL = 30 * time.Second
	// turnedSettleTime is how long the ends of workers under a part of prompts that was answered before
	// must be known before they count. Requests that began after them show by then whether the part has
	// turned fatal: an answer counts as survived after a second, and is known to others an exchange later.
	turnedSettleTime = 1500 * time.Millisecond
	// sameMoment is the time within which the ends of several workers count as one: machines of a
	// rack lose power at once, and each of their requests is under several ends.
	sameMoment = 50 * time.Millisecond
	// probationDelay is how long a part stays condemned after its condemnation has ended by a new
	// version, which is not on all workers at once.
	probationDelay = 5 * time.Second
	// settlePerGateway and maxSettleTime bound how long the end of a worker is known before it can
	// condemn a part. The records of one end come from all gateways that had requests there, and those
	// of sound requests may arrive before that of the fatal one, which explains them.
	settlePerGateway = 10 * time.Millisecond
	maxSettleTime    = time.Second
	// ratioMargin is by how much the ratio of a part must exceed that of a part further back in the
	// prompts for the former to be condemned: one or two ends of workers.
	ratioMargin = 8
	// finishedHalfLife is the time in which the count of the finished requests of a service halves.
	finishedHalfLife = 20 * time.Second
	// minEndedWorkers is the least number of workers that must have ended under a part before it is
	// condemned, and minSuspectEnds that before it is suspected.
	minEndedWorkers = 3
	minSuspectEnds  = 2
	// smallService is the number of workers up to which a suspect that was never answered is condemned
	// without a trial, which would take half of the service or all of it from sound callers.
	smallService = 2
	// condemnThreshold is the log-likelihood ratio from which a part is condemned: odds of 160,000
	// to 1, for the thousands of parts that an hour brings into contact with ended workers.
	condemnThreshold = 12
	// suspectThreshold is the ratio from which requests with the part are sent one at a time.
	suspectThreshold = 7
	// fatalShare is the share of the requests with a fatal part that end their workers, if they
	// begin.
	fatalShare = 0.95
	// finishedPenalty is the log-likelihood ratio of a request that ended in order: 0.02 of those
	// with a fatal part.
	finishedPenalty = 3.9
	// minChance and maxChance bound the estimated chance that a worker ends under a request that
	// has nothing to do with it.
	minChance = 0.002
	maxChance = fatalShare
	// maxCondemnedFor is the longest condemnation by evidence.
	maxCondemnedFor = 4 * time.Hour
)

// CondemnedFor is how long a part stays condemned the first time. The time doubles with each further
// one.
const CondemnedFor = 10 * time.Minute

// Tracker is what one gateway knows of the parts of requests.
type Tracker struct {
	origin   uint64
	ledger   *Ledger
	services map[string]*service
	// known counts the finished requests of this gateway by part.
	known *lru.LRU[Part, *knownPart]
	// probation holds the parts whose condemnation has ended, and since when.
	probation map[Part]Elapsed
	// firstSequence is the sequence that stands for the start of the clock.
	firstSequence int64
	// finishedSequence is the sequence of the last Finished that this Tracker stated.
	finishedSequence int64
	// settleTime is how long the end of a worker is known before it can condemn a part.
	settleTime time.Duration
	late       lateBudget
}

// knownPart holds when the last requests of this gateway with a part began that have finished, up to
// commonFinishes, and when the last one finished.
type knownPart struct {
	begun  []Elapsed
	lastAt Elapsed
}

// add records a finished request.
func (k *knownPart) add(now, begun Elapsed) {
	if now-k.lastAt > finishedTTL {
		k.begun = nil
	}
	if len(k.begun) == commonFinishes {
		k.begun = append(k.begun[:0], k.begun[1:]...)
	}
	at, _ := slices.BinarySearch(k.begun, begun)
	k.begun = slices.Insert(k.begun, at, begun)
	k.lastAt = max(k.lastAt, now)
}

// finishedLately returns the count if it still speaks for the part.
func (k *knownPart) finishedLately(now Elapsed) int {
	if now-k.lastAt > finishedTTL {
		return 0
	}
	return len(k.begun)
}

// service is what a Tracker knows of one service.
type service struct {
	workers  int
	versions []string
	// mostWorkers is the greatest number of workers of late, some of which may have ended since.
	mostWorkers   int
	mostWorkersAt Elapsed
	// finished is the decayed number of finished requests of this gateway, as of finishedAt.
	finished   float64
	finishedAt Elapsed
	// ends holds the workers that ended, by hash, with the requests of this gateway that had just
	// begun there.
	ends map[uint64]*workerEnd
	// rivals holds the parts that may be fatal besides the one that is judged.
	rivals []Part
}

type workerEnd struct {
	at    Elapsed
	begun float64
}

// NewTracker returns an empty Tracker of the gateway run that origin names. started is the time at
// which the clock of all further calls was zero. It orders the verdicts of different gateways, and
// keeps the versions of this run above those of earlier ones.
func NewTracker(origin string, started time.Time) *Tracker {
	known, err := lru.NewLRU[Part, *knownPart](maxKnownParts, nil)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	t := &Tracker{
		origin: xxhash.Sum64String(origin), ledger: NewLedger(time.Now().UnixNano()), services: map[string]*service{}, known: known,
		probation: map[Part]Elapsed{}, firstSequence: started.UnixMilli(),
	}
	t.late.setGateways(1)
	return t
}

func (t *Tracker) serviceOf(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{ends: map[uint64]*workerEnd{}}
		t.services[name] = s
	}
	return s
}

// SetWorkers sets the number of workers of a service and the versions of their software.
func (t *Tracker) SetWorkers(now Elapsed, name string, workers int, versions []string) {
	s := t.serviceOf(name)
	s.workers, s.versions = workers, versions
	if workers >= s.mostWorkers || now-s.mostWorkersAt > evidenceWindow {
		s.mostWorkers, s.mostWorkersAt = workers, now
	}
}

// SetGateways sets the number of gateways that exchange what they know, this one included.
func (t *Tracker) SetGateways(n int) {
	t.settleTime = 0
	t.late.setGateways(n)
	if n > 1 {
		t.settleTime = min(time.Duration(n)*settlePerGateway, maxSettleTime)
	}
}

// RecordFinished records that a request with some parts ended in order, and when its worker began with
// it. It returns the condemnations that end by it.
func (t *Tracker) RecordFinished(now, begun Elapsed, name string, ids []uint64) []Verdict {
	s := t.serviceOf(name)
	s.finished, s.finishedAt = s.finishedNow(now)+1, now
	var cleared []Verdict
	for _, id := range ids {
		if v, ok := t.recordFinished(now, begun, Part{name, id}); ok {
			cleared = append(cleared, v)
		}
	}
	return cleared
}

// RecordWholeFinished records that a request with a prompt ended in order, as a whole. Nearly each such request is
// a new one, so that only those that are in evidence are counted.
func (t *Tracker) RecordWholeFinished(now, begun Elapsed, part Part) []Verdict {
	if t.ledger.parts[part] == nil && t.ledger.verdicts[part] == nil {
		return nil
	}
	if v, ok := t.recordFinished(now, begun, part); ok {
		return []Verdict{v}
	}
	return nil
}

// recordFinished records that a request with a part ended in order. It returns the condemnation that ends by it.
func (t *Tracker) recordFinished(now, begun Elapsed, part Part) (cleared Verdict, ok bool) {
	cleared, ok = t.clear(now, part)
	k, isKnown := t.known.Get(part)
	if !isKnown {
		k = &knownPart{}
		t.known.Add(part, k)
	}
	k.add(now, begun)
	t.publishFinished(now, part, k)
	return cleared, ok
}

// publishFinished states the finished requests of a part that was accused of more than one end, which
// few are, or condemned.
func (t *Tracker) publishFinished(now Elapsed, part Part, k *knownPart) {
	p, v := t.ledger.parts[part], t.ledger.verdicts[part]
	isNear := p != nil && len(p.crashes) >= minSuspectEnds || v != nil && v.value.Condemned
	if !isNear || k.finishedLately(now) == 0 {
		return
	}
	f := Finished{Origin: t.origin, Count: len(k.begun), At: k.lastAt, Begun: k.begun}
	if p != nil && p.finished[t.origin] != nil && !f.isLater(&p.finished[t.origin].value) {
		return
	}
	t.finishedSequence++
	f.Sequence, f.Begun = t.finishedSequence, slices.Clone(k.begun)
	t.ledger.mergeFinished(NoSource, part, f)
}

func (s *service) finishedNow(now Elapsed) float64 {
	if s.finished == 0 {
		return 0
	}
	return s.finished * exp2(-float64(now-s.finishedAt)/float64(finishedHalfLife))
}

// WorkerEnd is the end of a worker while a request with some parts was on it.
type WorkerEnd struct {
	// Ago is how long ago the worker ended.
	Ago              time.Duration
	Service, Version string
	// Worker is the ID of the worker and of its start.
	Worker string
	// IDs are the parts of the prompt, and Whole is the whole request; 0 for none.
	IDs   []uint64
	Whole uint64
	// Weight is how much the parts are accused, and WholeWeight how much the whole request is, if that is more; see
	// Weight and WholeWeight.
	Weight, WholeWeight float64
	// OnTrial is set if the request was sent as a suspected one, apart from others like it.
	OnTrial bool
}

// RecordEnd records the end of a worker under a request of this gateway. It returns the parts that are
// condemned by it.
func (t *Tracker) RecordEnd(now Elapsed, e WorkerEnd) []Verdict {
	worker := xxhash.Sum64String(e.Worker)
	at := now - e.Ago
	end := t.endOf(at, e.Service, worker)
	end.begun += e.Weight
	for i, id := range e.IDs {
		if e.Weight > 0 {
			t.recordCrash(now, Part{e.Service, id}, Crash{Worker: worker, Weight: e.Weight, Position: i, OnTrial: e.OnTrial, At: at})
		}
	}
	whole := Part{e.Service, e.Whole}
	if e.Whole != 0 && (e.Weight > 0 || t.ledger.parts[whole] != nil || t.late.take(now)) {
		t.recordCrash(now, whole, Crash{Worker: worker, Weight: max(e.Weight, e.WholeWeight), Position: len(e.IDs), IsWhole: true, OnTrial: e.OnTrial, At: at})
	}
	return t.judge(now, e.Service, e.Version)
}

func (t *Tracker) recordCrash(now Elapsed, part Part, c Crash) {
	t.ledger.mergeCrash(NoSource, part, c)
	if k, ok := t.known.Peek(part); ok {
		t.publishFinished(now, part, k)
	}
}

func (t *Tracker) endOf(now Elapsed, name string, worker uint64) *workerEnd {
	s := t.serviceOf(name)
	end := s.ends[worker]
	if end == nil {
		end = &workerEnd{at: now}
		s.ends[worker] = end
	}
	return end
}

// Merge adds what other gateways know, as a source states it. It returns the verdicts that were not
// known, and those that follow.
func (t *Tracker) Merge(now Elapsed, from Source, records []Record) []Verdict {
	affected := map[string]bool{}
	var out []Verdict
	for _, r := range records {
		if r.Finished != nil && r.Finished.Origin == t.origin {
			continue // an own statement that comes back
		}
		if !t.ledger.Merge(from, r) {
			continue
		}
		switch {
		case r.Verdict != nil:
			delete(t.probation, r.Part)
			out = append(out, *r.Verdict)
			affected[r.Part.Service] = true
			if k, ok := t.known.Peek(r.Part); ok {
				t.publishFinished(now, r.Part, k)
			}
		case r.Finished != nil:
			if v, ok := t.acquit(now, r.Part); ok {
				out = append(out, v)
			}
		case r.Crash != nil:
			t.endOf(r.Crash.At, r.Part.Service, r.Crash.Worker)
			affected[r.Part.Service] = true
			if k, ok := t.known.Peek(r.Part); ok {
				t.publishFinished(now, r.Part, k)
			}
		}
	}
	for name := range affected {
		out = append(out, t.judge(now, name, t.serviceOf(name).onlyVersion())...)
	}
	return out
}

// Changes returns what changed after a version of this Tracker's knowledge, also what it learned
// from others but the reader; see Ledger.ChangedSince.
func (t *Tracker) Changes(version int64, limit int, reader Source) ([]Record, int64) {
	return t.ledger.ChangedSince(version, limit, reader)
}

// Tick removes what is out of date. It returns the parts that are condemned by ends that have been known
// for long enough now.
func (t *Tracker) Tick(now Elapsed) []Verdict {
	t.ledger.Expire(now)
	t.updateProbation(now)
	for _, s := range t.services {
		for worker, end := range s.ends {
			if now-end.at > evidenceWindow {
				delete(s.ends, worker)
			}
		}
	}
	var out []Verdict
	for name, s := range t.services {
		if s.hasEndSince(now - max(t.settleTime, turnedSettleTime) - maxTickInterval) {
			out = append(out, t.judge(now, name, s.onlyVersion())...)
		}
	}
	return out
}

// maxTickInterval is the longest time between two calls of Tick.
const maxTickInterval = time.Second

// hasEndSince reports whether a worker has ended since a time.
func (s *service) hasEndSince(since Elapsed) bool {
	for _, end := range s.ends {
		if end.at >= since {
			return true
		}
	}
	return false
}

// onlyVersion returns the version of the workers' software, or "" if there are several.
func (s *service) onlyVersion() string {
	if len(s.versions) == 1 {
		return s.versions[0]
	}
	return ""
}

func exp2(x float64) float64 { return math.Exp2(x) }
