package rollout

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// evidenceUnit is the resolution of a log-likelihood ratio in a Tally.
const evidenceUnit = 1.0 / 16

// tallyFields is the number of counters of a Tally.
const tallyFields = 8

// Tally counts the judged answers of one worker, or of one kind of answer, of a target. The
// evidence is the log-likelihood ratio of a bad version to a good one in units of evidenceUnit,
// its positive and negative parts apart, so that all counters only increase.
type Tally struct {
	Answers, Failed int
	// ErrorsAgainst and ErrorsFor are the evidence of failures against and for the target,
	// SlowAgainst and SlowFor that of answer times.
	ErrorsAgainst, ErrorsFor int
	SlowAgainst, SlowFor     int
	// OtherAnswers and OtherFailed count the answers of the other versions of one kind.
	OtherAnswers, OtherFailed int
}

func (t *Tally) fields() [tallyFields]*int {
	return [tallyFields]*int{&t.Answers, &t.Failed, &t.ErrorsAgainst, &t.ErrorsFor, &t.SlowAgainst, &t.SlowFor, &t.OtherAnswers, &t.OtherFailed}
}

// errors returns the evidence of failures, slowness that of answer times.
func (t *Tally) errors() float64   { return float64(t.ErrorsAgainst-t.ErrorsFor) * evidenceUnit }
func (t *Tally) slowness() float64 { return float64(t.SlowAgainst-t.SlowFor) * evidenceUnit }

func (t *Tally) add(other Tally) {
	fields, others := t.fields(), other.fields()
	for i := range fields {
		*fields[i] += *others[i]
	}
}

// raise sets each counter to that of other if it is lower there, and returns by how much the
// counters rose.
func (t *Tally) raise(other Tally) Tally {
	var rise Tally
	fields, others, rises := t.fields(), other.fields(), rise.fields()
	for i := range fields {
		if d := *others[i] - *fields[i]; d > 0 {
			*fields[i], *rises[i] = *others[i], d
		}
	}
	return rise
}

// Tallies holds a Tally for each worker or kind, by its hash.
type Tallies map[uint32]Tally

// Evidence is what processes observed of the target of a rollout. Its counters only increase.
type Evidence struct {
	Workers, Kinds Tallies
	// Baseline counts the answers of the other versions by their time relative to the usual one
	// of their kind.
	Baseline *RatioHistogram
}

// NewEvidence returns evidence without answers.
func NewEvidence() Evidence { return Evidence{Tallies{}, Tallies{}, &RatioHistogram{}} }

// Add adds other evidence.
func (e Evidence) Add(other Evidence) {
	e.Workers.add(other.Workers)
	e.Kinds.add(other.Kinds)
	e.Baseline.add(other.Baseline, 1)
}

// Raise sets each counter to that of other if it is lower here. It returns by how much the counters
// rose, and whether one did.
func (e Evidence) Raise(other Evidence) (Evidence, bool) {
	baseline, changed := e.Baseline.raise(other.Baseline)
	rise := Evidence{e.Workers.raise(other.Workers), e.Kinds.raise(other.Kinds), baseline}
	return rise, changed || len(rise.Workers)+len(rise.Kinds) > 0
}

// Subtract subtracts evidence that is contained in this one.
func (e Evidence) Subtract(other Evidence) {
	e.Workers.subtract(other.Workers)
	e.Kinds.subtract(other.Kinds)
	e.Baseline.add(other.Baseline, -1)
}

// Clone returns a copy.
func (e Evidence) Clone() Evidence {
	baseline := *e.Baseline
	return Evidence{maps.Clone(e.Workers), maps.Clone(e.Kinds), &baseline}
}

func (t Tallies) add(other Tallies) {
	for hash, tally := range other {
		sum := t[hash]
		sum.add(tally)
		t[hash] = sum
	}
}

func (t Tallies) subtract(other Tallies) {
	for hash, tally := range other {
		rest := t[hash]
		fields, others := rest.fields(), tally.fields()
		for i := range fields {
			*fields[i] -= *others[i]
		}
		t[hash] = rest
	}
}

// raise raises each Tally and returns the rises that are not zero.
func (t Tallies) raise(other Tallies) Tallies {
	rises := Tallies{}
	for hash, tally := range other {
		known := t[hash]
		if rise := known.raise(tally); rise != (Tally{}) {
			t[hash], rises[hash] = known, rise
		}
	}
	return rises
}

// evidenceHashBits is the length of the hashes. Two workers that share one are judged as one.
const evidenceHashBits = 24

// evidenceHash returns the hash of a worker or kind.
func evidenceHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name) >> (64 - evidenceHashBits)) //nolint:gosec // has evidenceHashBits bits
}

// Encode returns the tallies in base64: for each, in the order of the hashes, the distance from
// the hash before and the counters, all as unsigned varints.
func (t Tallies) Encode() string {
	var raw []byte
	previous := uint32(0)
	for _, hash := range slices.Sorted(maps.Keys(t)) {
		raw = binary.AppendUvarint(raw, uint64(hash-previous))
		previous = hash
		tally := t[hash]
		for _, field := range tally.fields() {
			raw = binary.AppendUvarint(raw, uint64(max(*field, 0))) //nolint:gosec // not negative
		}
	}
	return base64.StdEncoding.EncodeToString(raw)
}

// maxTallyCount bounds a decoded counter, so that a wrong one cannot overflow a sum.
const maxTallyCount = 1 << 32

// DecodeTallies decodes what Encode returns. It returns an error for anything else.
func DecodeTallies(text string) (Tallies, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, eris.Wrap(err, "evidence is not in base64")
	}
	next := func(limit uint64) (uint64, bool) {
		v, n := binary.Uvarint(raw)
		if n <= 0 || v > limit {
			return 0, false
		}
		raw = raw[n:]
		return v, true
	}
	out := Tallies{}
	hash := uint64(0)
	for len(raw) > 0 {
		distance, ok := next(math.MaxUint32)
		if hash += distance; !ok || hash >= 1<<evidenceHashBits {
			return nil, eris.New("evidence holds a worker or kind that is out of range")
		}
		var tally Tally
		for _, field := range tally.fields() {
			v, ok := next(maxTallyCount)
			if !ok {
				return nil, eris.New("evidence holds a count that is out of range")
			}
			*field = int(v) //nolint:gosec // bounded above
		}
		out[uint32(hash)] = tally
	}
	return out, nil
}

// answers returns the number of judged answers.
func (t Tallies) answers() int {
	sum := 0
	for _, tally := range t {
		sum += tally.Answers
	}
	return sum
}

// withoutSuspects returns the sum of the tallies of a target's workers without those that speak most
// against it: one, and a fifth of those with more than a few answers. A few faulty workers do not
// show that their version is bad; the ejection of workers handles them.
func withoutSuspects(workers Tallies, against func(t *Tally) float64) Tally {
	tallies := slices.Collect(maps.Values(workers))
	answers := workers.answers()
	slices.SortFunc(tallies, func(a, b Tally) int { return cmp.Compare(against(&b), against(&a)) })
	suspects := maxSuspects(len(tallies), answers)
	var sum Tally
	for _, t := range tallies[min(suspects, len(tallies)):] {
		sum.add(t)
	}
	return sum
}

// maxSuspects returns how many of the workers of a target may be faulty themselves.
func maxSuspects(workers, answers int) int {
	return 1 + min(workers, answers/answersPerSuspect)/workersPerSuspect
}

const (
	// answersPerSuspect is the number of answers with which a worker can be told to be faulty
	// itself.
	answersPerSuspect = 4
	// workersPerSuspect is the number of workers of which one more may be faulty.
	workersPerSuspect = 5
)
