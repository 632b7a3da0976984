// Package news spreads what a few gateways, the relays, hear from the store to the
// others, so that the calls to the store do not grow with the number of gateways. A
// relay states how old its knowledge is; a gateway that gets no news asks the store
// itself.
package news

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/forward"
)

// Elapsed is a reading of a clock that counts suspended time.
type Elapsed = time.Duration

// maxEntries bounds the updates of a topic that a Board keeps. A gateway that knows none
// of them gets the whole topic.
const maxEntries = 64

// wholeLimit is the longest whole topic that is sent unasked, in bytes. On the users'
// platform a call to the store costs as much as 24 kB between failure domains. At 300
// gateways and 3,000 workers, lists of 750 kB went to most gateways after a restart of all.
const wholeLimit = 24_000

// Board is what a relay knows of every topic. It is pure: it holds no lock and no clock.
type Board struct {
	maxAge  time.Duration
	topics  map[forward.Topic]*topic
	leaving bool
	packer  packer
}

type topic struct {
	usable    bool
	confirmed Elapsed
	entries   []entry
	config    *forward.Config
	workers   map[string]forward.Worker
	rollouts  map[string]forward.Rollout
	// whole is the encoded topic as of the last entry; nil when it must be encoded again.
	whole json.RawMessage
}

// entry is one update of the store, or only a higher revision when update is nil.
type entry struct {
	revision int64
	update   json.RawMessage
	// relisted marks the difference between two lists: what came and went between them is not
	// in it.
	relisted bool
}

// Answer is what a Board tells of a topic.
type Answer struct {
	// Revision is the store's revision of the news.
	Revision int64
	// Full reports whether Updates holds the whole topic.
	Full bool
	// Gap reports that the Board does not reach back to the revision and leaves the whole
	// topic to the store.
	Gap     bool
	Updates []json.RawMessage
	// Age is the age of the knowledge that no newer update exists.
	Age time.Duration
}

// NewBoard returns an empty Board. It tells nothing while its knowledge of the
// configuration is older than maxAge: the same connections carry all topics, and that
// topic is asked for most often.
func NewBoard(maxAge time.Duration) *Board {
	b := &Board{maxAge: maxAge, topics: map[forward.Topic]*topic{}}
	for _, t := range []forward.Topic{forward.ConfigTopic, forward.WorkerTopic, forward.RolloutTopic} {
		b.topics[t] = &topic{workers: map[string]forward.Worker{}, rollouts: map[string]forward.Rollout{}}
	}
	return b
}

// Took records an answer of the store, which was the newest state at time confirmed.
// It reports whether there is news.
func (b *Board) Took(name forward.Topic, u *forward.Update, confirmed Elapsed) (bool, error) {
	t := b.topics[name]
	back := !t.usable
	t.usable = true
	t.confirmed = max(t.confirmed, confirmed)
	next := entry{revision: u.Revision, relisted: u.Full}
	base := u.Full && !t.continues(u.Revision)
	if base {
		t.entries = nil
		clear(t.workers)
		clear(t.rollouts)
	}
	changes := t.take(u)
	changed := base || changes.Changes() > 0
	if changed {
		t.whole = nil
	}
	if changed && !base {
		raw, err := b.encode(changes)
		if err != nil {
			return false, err
		}
		next.update = raw
	}
	if n := len(t.entries); n == 0 || t.entries[n-1].revision != u.Revision || changed {
		t.entries = append(t.entries, next)
	}
	if len(t.entries) > maxEntries {
		t.entries = slices.Delete(t.entries, 0, len(t.entries)-maxEntries)
	}
	return changed || back, nil
}

// continues reports whether a list as of a revision can be passed on as the difference to
// what is known.
func (t *topic) continues(revision int64) bool {
	n := len(t.entries)
	return n > 0 && revision >= t.entries[n-1].revision
}

// take applies an update and returns the changes that altered what is known, of several
// configurations only the newest. A worker's entry also changes in parts that no gateway
// reads.
func (t *topic) take(u *forward.Update) *forward.Update {
	out := &forward.Update{Revision: u.Revision}
	for _, c := range u.Configs {
		if t.config == nil || c.Version > t.config.Version {
			t.config = c
			out.Configs = []*forward.Config{c}
		}
	}
	if u.Full {
		out.Workers, out.Rollouts = t.vanished(u)
	}
	for _, w := range u.Workers {
		if known, ok := t.workers[w.ID]; w.Removed || !ok || known != w.Worker {
			out.Workers = append(out.Workers, w)
		}
		t.workers[w.ID] = w.Worker
		if w.Removed {
			delete(t.workers, w.ID)
		}
	}
	for _, r := range u.Rollouts {
		if known, ok := t.rollouts[r.Service]; r.Removed || !ok || known != r.Rollout {
			out.Rollouts = append(out.Rollouts, r)
		}
		t.rollouts[r.Service] = r.Rollout
		if r.Removed {
			delete(t.rollouts, r.Service)
		}
	}
	return out
}

// vanished removes what a list lacks and returns the removals.
func (t *topic) vanished(u *forward.Update) (workers []forward.WorkerChange, rollouts []forward.RolloutChange) {
	listedWorkers, listedRollouts := map[string]bool{}, map[string]bool{}
	for i := range u.Workers {
		listedWorkers[u.Workers[i].ID] = true
	}
	for i := range u.Rollouts {
		listedRollouts[u.Rollouts[i].Service] = true
	}
	for id, w := range t.workers {
		if !listedWorkers[id] {
			workers = append(workers, forward.WorkerChange{Worker: w, Removed: true})
			delete(t.workers, id)
		}
	}
	for service, r := range t.rollouts {
		if !listedRollouts[service] {
			rollouts = append(rollouts, forward.RolloutChange{Rollout: r, Removed: true})
			delete(t.rollouts, service)
		}
	}
	return workers, rollouts
}

// Lost records that the store did not answer for a topic.
func (b *Board) Lost(name forward.Topic) { b.topics[name].usable = false }

// Leave ends the news for good.
func (b *Board) Leave() { b.leaving = true }

// Available reports whether the Board has news of a topic that it may tell.
func (b *Board) Available(now Elapsed, name forward.Topic) bool {
	config := b.topics[forward.ConfigTopic]
	return !b.leaving && b.topics[name].usable && config.usable && now-config.confirmed <= b.maxAge
}

// Since returns the updates after a revision. When the Board does not reach back to it, it
// returns the whole topic if that is short or whole is set, and otherwise a gap. It returns
// false when there is nothing newer. A Board that is behind the revision has nothing newer
// until it has caught up.
func (b *Board) Since(now Elapsed, name forward.Topic, revision int64, whole bool) (Answer, bool, error) {
	t := b.topics[name]
	a := Answer{Revision: revision, Age: now - t.confirmed}
	if len(t.entries) == 0 {
		return a, false, nil
	}
	last := t.entries[len(t.entries)-1].revision
	if last < revision {
		return a, false, nil
	}
	a.Revision = last
	if from := t.reaches(revision); from >= 0 {
		for _, e := range t.entries[from+1:] {
			if e.update != nil {
				a.Updates = append(a.Updates, e.update)
			}
		}
		if n := len(a.Updates); name == forward.ConfigTopic && n > 1 {
			a.Updates = a.Updates[n-1:] // a configuration replaces the ones before
		}
		return a, len(a.Updates) > 0, nil
	}
	if t.whole == nil {
		raw, err := b.encode(t.list())
		if err != nil {
			return a, false, err
		}
		t.whole = raw
	}
	if len(t.whole) > wholeLimit && !whole {
		a.Revision, a.Gap = revision, true
		return a, true, nil
	}
	a.Full, a.Updates = true, []json.RawMessage{t.whole}
	return a, true, nil
}

// reaches returns the entry after which the changes since a revision begin, or -1 when they
// are not held. A revision between two entries is one that the store told the other side
// itself. The next entry then repeats some of its changes, which ends in the same state,
// unless it is the difference between two lists.
func (t *topic) reaches(revision int64) int {
	from := -1
	for i, e := range t.entries {
		if e.revision <= revision {
			from = i
		}
	}
	if from < 0 || t.entries[from].revision == revision || from+1 == len(t.entries) || !t.entries[from+1].relisted {
		return from
	}
	return -1
}

func (t *topic) list() *forward.Update {
	u := &forward.Update{Full: true}
	if t.config != nil {
		u.Configs = []*forward.Config{t.config}
	}
	for _, w := range t.workers {
		u.Workers = append(u.Workers, forward.WorkerChange{Worker: w})
	}
	for _, r := range t.rollouts {
		u.Rollouts = append(u.Rollouts, forward.RolloutChange{Rollout: r})
	}
	return u
}

// encode leaves out the faults: they are logged where the store was read.
func (b *Board) encode(u *forward.Update) (json.RawMessage, error) {
	told := *u
	told.Faults = nil
	raw, err := json.Marshal(&told)
	if err != nil {
		return nil, eris.Wrap(err, "update cannot be encoded")
	}
	return b.packer.pack(raw)
}

// Merge decodes the updates of an answer into one.
func Merge(a Answer) (forward.Update, error) {
	out := forward.Update{Revision: a.Revision, Full: a.Full, Age: a.Age, Relayed: true}
	for _, packed := range a.Updates {
		var u forward.Update
		raw, err := unpack(packed)
		if err != nil {
			return forward.Update{}, err
		}
		if err := json.Unmarshal(raw, &u); err != nil {
			return forward.Update{}, eris.Wrap(err, "news cannot be decoded")
		}
		if slices.Contains(u.Configs, nil) {
			return forward.Update{}, eris.New("news hold a configuration that is null")
		}
		out.Configs = append(out.Configs, u.Configs...)
		out.Workers = append(out.Workers, u.Workers...)
		out.Rollouts = append(out.Rollouts, u.Rollouts...)
	}
	return out, nil
}
