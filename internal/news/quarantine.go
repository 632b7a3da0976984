package news

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/quarantine"
)

// MaxQuarantineRecords bounds the records in one message, of about 150 bytes each. The rest follows in
// the next exchange, so that verdicts of a large fleet would wait behind evidence with a small bound.
const MaxQuarantineRecords = 256

// QuarantineCursor is how far a gateway and a relay have read each other's records.
type QuarantineCursor struct {
	// Run identifies the run of the relay.
	Run int64
	// Read is the version of the relay's records up to which the gateway has read, Sent that of the
	// gateway's records up to which the relay has them.
	Read, Sent int64
}

// Advance moves the cursor by an answer to a message that held the gateway's records up to sent. A new
// run of the relay has none of the records that earlier ones got.
func (c *QuarantineCursor) Advance(run, read, sent int64) {
	if c.Run != 0 && run != c.Run {
		sent = 0
	}
	*c = QuarantineCursor{run, read, sent}
}

// encodeQuarantine encodes records as of now, the clock of their times.
func encodeQuarantine(now Elapsed, records []quarantine.Record) []api.QuarantineRecord {
	out := make([]api.QuarantineRecord, 0, len(records))
	for _, r := range records {
		e := api.QuarantineRecord{Service: r.Part.Service, Part: formatHash(r.Part.ID)}
		switch {
		case r.Crash != nil:
			e.Kind, e.Subject, e.Weight, e.Position = api.QuarantineRecordKindCrash, formatHash(r.Crash.Worker), r.Crash.Weight, r.Crash.Position
			e.Whole, e.OnTrial = r.Crash.IsWhole, r.Crash.OnTrial
			e.AgeMs = int((now - r.Crash.At).Milliseconds())
		case r.Finished != nil:
			e.Kind, e.Subject, e.Count = api.QuarantineRecordKindFinished, formatHash(r.Finished.Origin), r.Finished.Count
			e.Statement = int(r.Finished.Sequence)
			e.AgeMs = int((now - r.Finished.At).Milliseconds())
			for _, at := range r.Finished.Begun {
				e.BegunAgesMs = append(e.BegunAgesMs, int((now - at).Milliseconds()))
			}
		case r.Verdict != nil:
			v := r.Verdict
			e.Kind, e.Sequence, e.Condemned, e.Version = api.QuarantineRecordKindVerdict, int(v.Sequence), v.Condemned, v.Version
			e.Crashes, e.Tries, e.ByOperator, e.RemainingMs = v.Crashes, v.Tries, v.ByOperator, int((v.Until - now).Milliseconds())
		}
		out = append(out, e)
	}
	return out
}

func formatHash(h uint64) string { return strconv.FormatUint(h, 16) }

// decodeQuarantine decodes what encodeQuarantine returns. It returns an error for anything else.
func decodeQuarantine(now Elapsed, records []api.QuarantineRecord) ([]quarantine.Record, error) {
	out := make([]quarantine.Record, 0, len(records))
	for i := range records {
		e := &records[i]
		id, err := strconv.ParseUint(e.Part, 16, 64)
		if err != nil {
			return nil, eris.Wrapf(err, "record of part %q", e.Part)
		}
		r := quarantine.Record{Part: quarantine.Part{Service: e.Service, ID: id}}
		if e.Kind == api.QuarantineRecordKindVerdict {
			r.Verdict = &quarantine.Verdict{
				Part: r.Part, Sequence: int64(e.Sequence), Condemned: e.Condemned, Version: e.Version, Crashes: e.Crashes, Tries: e.Tries,
				ByOperator: e.ByOperator, Until: now + time.Duration(min(max(e.RemainingMs, -maxRemainingMs), maxRemainingMs))*time.Millisecond,
			}
			out = append(out, r)
			continue
		}
		subject, err := strconv.ParseUint(e.Subject, 16, 64)
		if err != nil {
			return nil, eris.Wrapf(err, "record of part %q has subject %q", e.Part, e.Subject)
		}
		at := ago(now, e.AgeMs)
		switch e.Kind {
		case api.QuarantineRecordKindCrash:
			if e.Weight < 0 || e.Weight > 1 {
				return nil, eris.Errorf("record of part %q has weight %v, must be 0 to 1", e.Part, e.Weight)
			}
			r.Crash = &quarantine.Crash{Worker: subject, Weight: e.Weight, Position: e.Position, IsWhole: e.Whole, OnTrial: e.OnTrial, At: at}
		case api.QuarantineRecordKindFinished:
			if e.Count < 0 {
				return nil, eris.Errorf("record of part %q has count %d, must not be negative", e.Part, e.Count)
			}
			if len(e.BegunAgesMs) > quarantine.MaxFinishedTimes {
				return nil, eris.Errorf("record of part %q has the times of %d requests, at most %d are allowed", e.Part, len(e.BegunAgesMs), quarantine.MaxFinishedTimes)
			}
			r.Finished = &quarantine.Finished{Origin: subject, Sequence: int64(max(e.Statement, 0)), Count: e.Count, At: at}
			for _, age := range e.BegunAgesMs {
				r.Finished.Begun = append(r.Finished.Begun, ago(now, age))
			}
			slices.Sort(r.Finished.Begun)
		default:
			return nil, eris.Errorf("record of part %q has kind %q", e.Part, e.Kind)
		}
		out = append(out, r)
	}
	return out, nil
}

const (
	// maxAgeMs bounds the stated age of a record. Older ones are no evidence any more.
	maxAgeMs = int(time.Hour / time.Millisecond)
	// maxRemainingMs bounds the stated rest of a condemnation, also that of an operator.
	maxRemainingMs = int(30 * 24 * time.Hour / time.Millisecond)
)

// ago returns the time that a record states as an age. A time ahead of now would count for ever.
func ago(now Elapsed, ageMs int) Elapsed {
	return now - time.Duration(min(max(ageMs, 0), maxAgeMs))*time.Millisecond
}

// sourceOf returns the source of the records of a run of a process.
func sourceOf(instance string, run int64) quarantine.Source {
	return quarantine.Source(xxhash.Sum64String(instance + "/" + strconv.FormatInt(run, 10)))
}

// sourceOfMember returns the source of the records of another process.
func sourceOfMember(m *api.Member) quarantine.Source {
	return sourceOf(m.Instance, int64(m.Incarnation))
}

// mergeQuarantine adds records from a source to those of the relay. The caller holds the lock.
func (r *Relay) mergeQuarantine(now Elapsed, from quarantine.Source, records []quarantine.Record) {
	r.quarantine.Expire(now)
	for _, record := range records {
		r.quarantine.Merge(from, record)
	}
}
