package quarantine

import (
	"slices"
	"time"
)

const (
	// maxParts bounds the parts of prompts with evidence in a Ledger. The one whose last evidence is oldest
	// yields to a new one.
	maxParts = 1024
	// maxWholes bounds the whole requests with evidence, nearly all of which are seen once: evidence on
	// them must not push out that on parts. Of those with the fewest ends the oldest one yields.
	maxWholes = 1024
	// maxVerdicts bounds the verdicts in a Ledger. The one that ends first yields to a new one, and
	// those of operators yield last.
	maxVerdicts = 256
	// maxCrashesPerPart bounds the ended workers that are kept for one part: more than a fleet has, since ends of a
	// fatal part that are not known would accuse sound parts. maxCrashes bounds those of all parts of prompts.
	maxCrashesPerPart = 1024
	maxCrashes        = 128 * maxParts
	// maxOriginsPerPart bounds the gateways whose finished requests are kept for one part.
	maxOriginsPerPart = 64
	// maxWholeCrashes bounds the ended workers that are kept for all whole requests together, most of which have one.
	maxWholeCrashes = 8 * maxWholes
	// maxOriginsPerWhole bounds the gateways whose finished requests are kept for a whole request. A few clear it.
	maxOriginsPerWhole = 8
)

// maxSequence bounds the sequences of verdicts, which other processes and the store state. Each later
// decision on a part needs a higher one.
const maxSequence = 1 << 53

// VerdictTTL is how long a verdict is kept after its end, as the memory of earlier ones.
const VerdictTTL = time.Hour

// Crash states that a request with a part had just begun on a worker when that worker ended.
type Crash struct {
	// Worker is the hash of the worker's ID and start.
	Worker uint64
	Weight float64
	// Position is the index of the part in the prompt.
	Position int
	// IsWhole is set if the part is a whole request.
	IsWhole bool
	// OnTrial is set if the request was sent as a suspected one, apart from others like it.
	OnTrial bool
	At      Elapsed
}

// Finished states that requests with a part have ended in order at a gateway.
type Finished struct {
	// Origin is the hash of the gateway's run.
	Origin uint64
	// Sequence orders the statements of the gateway, from 1. It is 0 if they have come through a
	// process that does not know it. Times cannot order them: each process on the way adds the time of
	// its message to them, so that a statement that came back looked like a later one and was passed
	// on again without end.
	Sequence int64
	// Count is the number of the requests, up to commonFinishes, and At when the last one ended.
	Count int
	At    Elapsed
	// Begun holds when they began, the earliest first, at most MaxFinishedTimes. It is empty if that is
	// not known.
	Begun []Elapsed
}

// MaxFinishedTimes bounds the times in a Finished.
const MaxFinishedTimes = commonFinishes

// begun returns when the requests began, or ended if that is not known.
func (f *Finished) begun() []Elapsed {
	if len(f.Begun) > 0 {
		return f.Begun
	}
	return slices.Repeat([]Elapsed{f.At}, min(f.Count, commonFinishes))
}

// Verdict is a decision on a part. Of two verdicts on one part, that with the higher sequence holds.
type Verdict struct {
	Part      Part
	Sequence  int64
	Condemned bool
	// Version is the version of the workers' software on which the part was condemned.
	Version string
	// Crashes is the number of workers that had ended under the part, and Tries that of earlier
	// condemnations.
	Crashes, Tries int
	// ByOperator is set if an operator decided.
	ByOperator bool
	// Until is the end of a condemnation.
	Until Elapsed
}

// Record is a Crash, a Finished or a Verdict on a part. One of the three is set.
type Record struct {
	Part     Part
	Crash    *Crash
	Finished *Finished
	Verdict  *Verdict
}

// Source identifies the run of a process that records come from. NoSource is this process itself, or
// an unknown one.
type Source uint64

// NoSource is the Source of records that were made here.
const NoSource Source = 0

// Ledger holds what gateways know of parts. Records merge to the same state in any order and
// however often they arrive.
type Ledger struct {
	parts map[Part]*partRecords
	// shared and wholes are the sizes of the tables of parts of prompts and of whole requests.
	shared, wholes tableSize
	verdicts       map[Part]*versioned[Verdict]
	// version increases with each change. A reader names the version up to which it has read.
	version int64
	// droppedVerdicts counts the verdicts that made room for later ones.
	droppedVerdicts int
}

// tableSize is the number of parts in a table, and that of their ended workers.
type tableSize struct {
	parts, crashes int
}

// table returns the size of the table of whole requests, or of parts of prompts.
func (l *Ledger) table(isWhole bool) *tableSize {
	if isWhole {
		return &l.wholes
	}
	return &l.shared
}

type versioned[T any] struct {
	value   T
	version int64
	// from is where the value came from. That process has it already.
	from Source
}

type partRecords struct {
	crashes  map[uint64]*versioned[Crash]
	finished map[uint64]*versioned[Finished]
	lastAt   Elapsed
	// isWhole is set if the part is a whole request.
	isWhole bool
}

func (p *partRecords) maxOrigins() int {
	if p.isWhole {
		return maxOriginsPerWhole
	}
	return maxOriginsPerPart
}

// NewLedger returns an empty Ledger. The first version must be above all versions of earlier
// ledgers of this process.
func NewLedger(firstVersion int64) *Ledger {
	return &Ledger{parts: map[Part]*partRecords{}, verdicts: map[Part]*versioned[Verdict]{}, version: firstVersion}
}

// Version returns the version of the last change.
func (l *Ledger) Version() int64 { return l.version }

// Merge adds a record from a source and reports whether it changed anything.
func (l *Ledger) Merge(from Source, r Record) bool {
	switch {
	case r.Verdict != nil:
		return l.mergeVerdict(from, *r.Verdict)
	case r.Crash != nil:
		return l.mergeCrash(from, r.Part, *r.Crash)
	case r.Finished != nil:
		return l.mergeFinished(from, r.Part, *r.Finished)
	}
	return false
}

func (l *Ledger) mergeVerdict(from Source, v Verdict) bool {
	if v.Sequence < 0 || v.Sequence > maxSequence {
		return false
	}
	v.Tries, v.Crashes = max(v.Tries, 0), max(v.Crashes, 0)
	known := l.verdicts[v.Part]
	if known != nil && known.value.Sequence >= v.Sequence {
		return false
	}
	if known == nil && len(l.verdicts) >= maxVerdicts {
		l.dropVerdict()
	}
	l.version++
	l.verdicts[v.Part] = &versioned[Verdict]{v, l.version, from}
	return true
}

// dropVerdict removes the verdict that ends first; those of operators yield last.
func (l *Ledger) dropVerdict() {
	var least *Verdict
	for _, v := range l.verdicts {
		if least == nil || !v.value.ByOperator && least.ByOperator || v.value.ByOperator == least.ByOperator && v.value.Until < least.Until {
			least = &v.value
		}
	}
	delete(l.verdicts, least.Part)
	l.droppedVerdicts++
}

// outweighs reports whether a crash says more than another one of the same part and worker.
func (c *Crash) outweighs(other *Crash) bool {
	if c.Weight != other.Weight {
		return c.Weight > other.Weight
	}
	return c.OnTrial && !other.OnTrial
}

func (l *Ledger) mergeCrash(from Source, part Part, c Crash) bool {
	if c.IsWhole && l.wholes.crashes >= maxWholeCrashes {
		l.dropWhole()
	}
	if !c.IsWhole && l.shared.crashes >= maxCrashes {
		l.dropPart()
	}
	p := l.recordsOf(part, c.At, c.IsWhole)
	known := p.crashes[c.Worker]
	if known != nil && !c.outweighs(&known.value) || known == nil && len(p.crashes) >= maxCrashesPerPart && !l.dropCrashBefore(p, c.At) {
		return false
	}
	if known == nil {
		l.table(p.isWhole).crashes++
	}
	l.version++
	p.crashes[c.Worker] = &versioned[Crash]{c, l.version, from}
	p.lastAt = max(p.lastAt, c.At)
	return true
}

// dropCrashBefore removes the earliest ended worker of a part if it ended before a time, and reports whether it did.
func (l *Ledger) dropCrashBefore(p *partRecords, at Elapsed) bool {
	var first uint64
	for worker, c := range p.crashes {
		if known := p.crashes[first]; known == nil || c.value.At < known.value.At {
			first = worker
		}
	}
	if p.crashes[first].value.At >= at {
		return false
	}
	l.deleteCrash(p, first)
	return true
}

func (l *Ledger) deleteCrash(p *partRecords, worker uint64) {
	delete(p.crashes, worker)
	l.table(p.isWhole).crashes--
}

func (l *Ledger) mergeFinished(from Source, part Part, f Finished) bool {
	p := l.recordsOf(part, f.At, false)
	p.lastAt = max(p.lastAt, f.At)
	known := p.finished[f.Origin]
	if known == nil {
		if len(p.finished) >= p.maxOrigins() {
			return false
		}
		known = &versioned[Finished]{value: Finished{Origin: f.Origin, At: f.At - 2*finishedTTL}}
		p.finished[f.Origin] = known
	}
	isLater := f.isLater(&known.value)
	changed := f.Count > known.value.Count || isLater && (f.At-known.value.At > minFinishedInterval || !p.hasEnoughSinceLastEnd(&known.value))
	if changed || isLater {
		known.value.Count = max(known.value.Count, f.Count)
	}
	if isLater && changed {
		known.value.At, known.value.Begun, known.value.Sequence = f.At, f.Begun, f.Sequence
	}
	if changed {
		l.version++
		known.version, known.from = l.version, from
	}
	return changed
}

// isLater reports whether a statement is a later one than another of the same gateway.
func (f *Finished) isLater(other *Finished) bool {
	if f.Sequence > 0 && other.Sequence > 0 {
		return f.Sequence > other.Sequence
	}
	return f.At > other.At || f.At == other.At && len(f.Begun) > len(other.Begun)
}

// minFinishedInterval is the least time between two versions of a Finished that differ in nothing that
// the evidence needs.
const minFinishedInterval = 5 * time.Second

// hasEnoughSinceLastEnd reports whether a Finished names as many requests as it can that began after the
// last end of a worker under the part.
func (p *partRecords) hasEnoughSinceLastEnd(f *Finished) bool {
	if len(f.Begun) < commonFinishes {
		return false
	}
	for _, c := range p.crashes {
		if c.value.At >= f.Begun[0] {
			return false
		}
	}
	return true
}

// recordsOf returns the records of a part, created if missing. A part is a whole request once an end says so.
func (l *Ledger) recordsOf(part Part, at Elapsed, isWhole bool) *partRecords {
	p := l.parts[part]
	if p != nil && (p.isWhole || !isWhole) {
		return p
	}
	if isWhole && l.wholes.parts >= maxWholes {
		l.dropWhole()
	}
	if !isWhole && l.shared.parts >= maxParts {
		l.dropPart()
	}
	if p == nil {
		p = &partRecords{crashes: map[uint64]*versioned[Crash]{}, finished: map[uint64]*versioned[Finished]{}, lastAt: at, isWhole: isWhole}
		l.parts[part] = p
		l.table(isWhole).parts++
		return p
	}
	l.shared.parts--
	l.shared.crashes -= len(p.crashes)
	l.wholes.parts++
	l.wholes.crashes += len(p.crashes)
	p.isWhole = true
	return p
}

// remove removes the records of a part.
func (l *Ledger) remove(part Part) {
	p := l.parts[part]
	size := l.table(p.isWhole)
	size.parts--
	size.crashes -= len(p.crashes)
	delete(l.parts, part)
}

// dropPart removes the part of prompts whose last evidence is oldest.
func (l *Ledger) dropPart() {
	l.dropFirst(false, func(p, q *partRecords) bool { return p.lastAt < q.lastAt })
}

// dropWhole removes the oldest one of the whole requests with the fewest ends.
func (l *Ledger) dropWhole() {
	l.dropFirst(true, func(p, q *partRecords) bool {
		return len(p.crashes) < len(q.crashes) || len(p.crashes) == len(q.crashes) && p.lastAt < q.lastAt
	})
}

// dropFirst removes the part, or whole request, that is before all others.
func (l *Ledger) dropFirst(isWhole bool, isBefore func(p, q *partRecords) bool) {
	var first Part
	var records *partRecords
	for part, p := range l.parts {
		if p.isWhole == isWhole && (records == nil || isBefore(p, records)) {
			first, records = part, p
		}
	}
	l.remove(first)
}

// Expire removes evidence that is older than its window and verdicts that ended long ago.
func (l *Ledger) Expire(now Elapsed) {
	for part, p := range l.parts {
		for worker, c := range p.crashes {
			if now-c.value.At > evidenceWindow {
				l.deleteCrash(p, worker)
			}
		}
		if len(p.crashes) == 0 && now-p.lastAt > evidenceWindow {
			l.remove(part)
		}
	}
	for part, v := range l.verdicts {
		if now-v.value.Until > VerdictTTL {
			delete(l.verdicts, part)
		}
	}
}
