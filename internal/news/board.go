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

// Board is what a relay knows of every topic. It is pure: it holds no lock and no clock.
type Board struct {
	maxAge  time.Duration
	topics  map[forward.Topic]*topic
	leaving bool
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
}

// Answer is what a Board tells of a topic.
type Answer struct {
	// Revision is the store's revision of the news.
	Revision int64
	// Full reports whether Updates holds the whole topic.
	Full    bool
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
	changed := u.Full || u.Changes() > len(u.Faults)
	if u.Full {
		t.entries = nil
		clear(t.workers)
		clear(t.rollouts)
	}
	next := entry{revision: u.Revision}
	if changed {
		t.apply(u)
		t.whole = nil
		raw, err := encode(u)
		if err != nil {
			return false, err
		}
		if !u.Full {
			next.update = raw
		}
	}
	if n := len(t.entries); n == 0 || t.entries[n-1].revision != u.Revision || changed {
		t.entries = append(t.entries, next)
	}
	if len(t.entries) > maxEntries {
		t.entries = slices.Delete(t.entries, 0, len(t.entries)-maxEntries)
	}
	return changed || back, nil
}

func (t *topic) apply(u *forward.Update) {
	for _, c := range u.Configs {
		if t.config == nil || c.Version > t.config.Version {
			t.config = c
		}
	}
	for _, w := range u.Workers {
		if w.Removed {
			delete(t.workers, w.ID)
			continue
		}
		t.workers[w.ID] = w.Worker
	}
	for _, r := range u.Rollouts {
		if r.Removed {
			delete(t.rollouts, r.Service)
			continue
		}
		t.rollouts[r.Service] = r.Rollout
	}
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

// Since returns the updates after a revision, or the whole topic when the Board does not
// reach back to it. It returns false when there is nothing newer. A Board that is behind
// the revision has nothing newer until it has caught up.
func (b *Board) Since(now Elapsed, name forward.Topic, revision int64) (Answer, bool, error) {
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
	// A revision between two entries is one that the store told the other side itself. The
	// next entry then repeats some of its changes, which ends in the same state.
	from := -1
	for i, e := range t.entries {
		if e.revision <= revision {
			from = i
		}
	}
	if from >= 0 {
		for _, e := range t.entries[from+1:] {
			if e.update != nil {
				a.Updates = append(a.Updates, e.update)
			}
		}
		return a, len(a.Updates) > 0, nil
	}
	if t.whole == nil {
		raw, err := encode(t.list())
		if err != nil {
			return a, false, err
		}
		t.whole = raw
	}
	a.Full, a.Updates = true, []json.RawMessage{t.whole}
	return a, true, nil
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
func encode(u *forward.Update) (json.RawMessage, error) {
	told := *u
	told.Faults = nil
	raw, err := json.Marshal(&told)
	return raw, eris.Wrap(err, "update cannot be encoded")
}

// Merge decodes the updates of an answer into one.
func Merge(a Answer) (forward.Update, error) {
	out := forward.Update{Revision: a.Revision, Full: a.Full, Age: a.Age, Relayed: true}
	for _, raw := range a.Updates {
		var u forward.Update
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
