// Package news distributes updates of the store to gateways through a few of them, the
// relays, so that the number of calls to the store does not grow with the number of
// gateways. A relay states the age of its data. A gateway that gets no updates from a relay
// calls the store itself.
package news

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/forward"
)

// Elapsed is a reading of a clock that also counts time in which the machine was suspended.
type Elapsed = time.Duration

// maxEntriesPerTopic bounds the updates that an UpdateLog keeps of a topic. A gateway whose
// revision is older than all of them gets the whole topic.
const maxEntriesPerTopic = 64

// maxSnapshotBytes is the longest snapshot of a topic that is sent without being requested.
// On the users' platform, a call to the store costs as much as 24 kB between failure
// domains. With 300 gateways and 3,000 workers, lists of 750 kB were sent to most gateways
// after all of them had restarted.
const maxSnapshotBytes = 24_000

// UpdateLog holds the state of every topic as known to a relay, and the latest updates that
// led to it. It is pure: it uses no lock and no clock.
type UpdateLog struct {
	maxAge     time.Duration
	topics     map[forward.Topic]*topicLog
	closed     bool
	compressor compressor
}

// topicLog is the state of one topic with its latest updates.
type topicLog struct {
	// storeAnswers is set while the last call to the store for the topic succeeded.
	storeAnswers bool
	confirmedAt  Elapsed
	entries      []logEntry
	config       *forward.Config
	workers      map[string]forward.Worker
	rollouts     map[string]forward.Rollout
	// condemnations are keyed by service and part.
	condemnations map[condemnationKey]forward.Condemnation
	// evacuations holds the evacuated failure domains.
	evacuations map[string]bool
	// coldFor holds how long workers stay cold as of their last entries, by ID, without warm ones.
	coldFor map[string]time.Duration
	// snapshot is the encoded topic as of the last entry; nil if it must be encoded again.
	snapshot json.RawMessage
}

// logEntry is one update from the store; update is nil if only the revision increased.
type logEntry struct {
	revision int64
	update   json.RawMessage
	// fromList marks the difference between two lists. It lacks objects that were added and
	// removed again between the two.
	fromList bool
}

// Delta is what an UpdateLog returns for a topic: the updates after a revision, or the
// whole topic.
type Delta struct {
	// Revision is the revision of the store as of the updates.
	Revision int64
	// Full reports whether Updates holds the whole topic.
	Full bool
	// Gap reports that the UpdateLog does not hold the changes since the revision, and that
	// the snapshot is too long to be sent unrequested. The topic must be listed from the
	// store.
	Gap     bool
	Updates []json.RawMessage
	// Age is the time since it was last known that no newer update existed.
	Age time.Duration
}

// NewUpdateLog returns an empty UpdateLog. It is unavailable while the configuration topic
// was not confirmed for longer than maxAge. That topic decides for all, because the same
// connections carry every topic and the configuration is requested most often.
func NewUpdateLog(maxAge time.Duration) *UpdateLog {
	l := &UpdateLog{maxAge: maxAge, topics: map[forward.Topic]*topicLog{}}
	for _, t := range forward.Topics {
		l.topics[t] = &topicLog{workers: map[string]forward.Worker{}, rollouts: map[string]forward.Rollout{}, condemnations: map[condemnationKey]forward.Condemnation{}, evacuations: map[string]bool{}, coldFor: map[string]time.Duration{}}
	}
	return l
}

// Record adds an update that the store returned and that was current at time confirmed. It
// reports whether gateways that wait for updates must be notified: the topic has changed,
// or the store answers again.
func (l *UpdateLog) Record(topic forward.Topic, u *forward.Update, confirmed Elapsed) (bool, error) {
	t := l.topics[topic]
	restored := !t.storeAnswers
	t.storeAnswers = true
	t.confirmedAt = max(t.confirmedAt, confirmed)
	added := logEntry{revision: u.Revision, fromList: u.Full}
	reset := u.Full && !t.canDiff(u.Revision)
	if reset {
		t.entries = nil
		clear(t.workers)
		clear(t.rollouts)
		clear(t.condemnations)
		clear(t.evacuations)
		clear(t.coldFor)
	}
	changes := t.apply(u)
	changed := reset || changes.ChangeCount() > 0
	if changed {
		t.snapshot = nil
	}
	if changed && !reset {
		raw, err := l.encode(changes)
		if err != nil {
			return false, err
		}
		added.update = raw
	}
	if n := len(t.entries); n == 0 || t.entries[n-1].revision != u.Revision || changed {
		t.entries = append(t.entries, added)
	}
	if len(t.entries) > maxEntriesPerTopic {
		t.entries = slices.Delete(t.entries, 0, len(t.entries)-maxEntriesPerTopic)
	}
	return changed || restored, nil
}

// canDiff reports whether a full list as of a revision can be passed on as the difference
// to the current state. That is not so for the first list, and for a list of an older
// revision.
func (t *topicLog) canDiff(revision int64) bool {
	n := len(t.entries)
	return n > 0 && revision >= t.entries[n-1].revision
}

// apply applies an update and returns the changes that altered the state, with only the
// newest of several configurations. Entries of workers also change in parts that no gateway
// reads; those changes are left out.
func (t *topicLog) apply(u *forward.Update) *forward.Update {
	out := &forward.Update{Revision: u.Revision}
	for _, c := range u.Configs {
		if t.config == nil || c.Version > t.config.Version {
			t.config = c
			out.Configs = []*forward.Config{c}
		}
	}
	if u.Full {
		out.Workers, out.Rollouts = t.removeUnlisted(u)
	}
	t.applyWorkers(u, out)
	for _, r := range u.Rollouts {
		if known, ok := t.rollouts[r.Service]; r.Removed || !ok || known != r.Rollout {
			out.Rollouts = append(out.Rollouts, r)
		}
		t.rollouts[r.Service] = r.Rollout
		if r.Removed {
			delete(t.rollouts, r.Service)
		}
	}
	t.applyCondemnations(u, out)
	t.applyEvacuations(u, out)
	return out
}

// applyWorkers applies the workers of an update and adds those that altered the state to changes.
func (t *topicLog) applyWorkers(u, changes *forward.Update) {
	for _, w := range u.Workers {
		if known, ok := t.workers[w.ID]; w.Removed || !ok || known != w.Worker || t.changesColdness(&w) {
			changes.Workers = append(changes.Workers, w)
		}
		t.workers[w.ID], t.coldFor[w.ID] = w.Worker, w.ColdFor
		if w.ColdFor == 0 {
			delete(t.coldFor, w.ID)
		}
		if w.Removed {
			delete(t.workers, w.ID)
			delete(t.coldFor, w.ID)
		}
	}
}

// changesColdness reports whether the entry of a known worker says something new of how long the worker
// stays cold. A shorter time is what the gateways expect, and would send each heartbeat of a cold worker
// to all of them.
func (t *topicLog) changesColdness(w *forward.WorkerChange) bool {
	known := t.coldFor[w.ID]
	return w.ColdFor > known || w.ColdFor == 0 && known > 0
}

// applyEvacuations applies the evacuations of an update and adds those that altered the state to changes.
func (t *topicLog) applyEvacuations(u, changes *forward.Update) {
	listed := map[string]bool{}
	for _, e := range u.Evacuations {
		listed[e.FailureDomain] = !e.Removed
		if t.evacuations[e.FailureDomain] == e.Removed {
			changes.Evacuations = append(changes.Evacuations, e)
		}
		t.evacuations[e.FailureDomain] = true
		if e.Removed {
			delete(t.evacuations, e.FailureDomain)
		}
	}
	for domain := range t.evacuations {
		if u.Full && !listed[domain] {
			changes.Evacuations = append(changes.Evacuations, forward.EvacuationChange{FailureDomain: domain, Removed: true})
			delete(t.evacuations, domain)
		}
	}
}

type condemnationKey struct {
	service string
	part    uint64
}

// applyCondemnations applies the condemnations of an update and adds those that altered the state to
// changes.
func (t *topicLog) applyCondemnations(u, changes *forward.Update) {
	listed := map[condemnationKey]bool{}
	for _, c := range u.Condemnations {
		key := condemnationKey{c.Service, c.Part}
		listed[key] = true
		if known, ok := t.condemnations[key]; c.Removed || !ok || known != c.Condemnation {
			changes.Condemnations = append(changes.Condemnations, c)
		}
		t.condemnations[key] = c.Condemnation
		if c.Removed {
			delete(t.condemnations, key)
		}
	}
	for key, c := range t.condemnations {
		if u.Full && !listed[key] {
			changes.Condemnations = append(changes.Condemnations, forward.CondemnationChange{Condemnation: c, Removed: true})
			delete(t.condemnations, key)
		}
	}
}

// removeUnlisted removes the objects that a full list lacks and returns the removals.
func (t *topicLog) removeUnlisted(u *forward.Update) (workers []forward.WorkerChange, rollouts []forward.RolloutChange) {
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
			delete(t.coldFor, id)
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

// MarkUnavailable records that the store did not answer a call for a topic.
func (l *UpdateLog) MarkUnavailable(topic forward.Topic) { l.topics[topic].storeAnswers = false }

// Close makes all topics unavailable for good.
func (l *UpdateLog) Close() { l.closed = true }

// Available reports whether the data of a topic is recent enough to be passed on.
func (l *UpdateLog) Available(now Elapsed, topic forward.Topic) bool {
	config := l.topics[forward.ConfigTopic]
	return !l.closed && l.topics[topic].storeAnswers && config.storeAnswers && now-config.confirmedAt <= l.maxAge
}

// Since returns the updates after a revision, and false if there are none. If the log does
// not hold the changes since the revision, Since returns the whole topic if it is short or
// forceSnapshot is set, and a Gap otherwise. A log that is behind the revision has no
// updates until it has caught up.
func (l *UpdateLog) Since(now Elapsed, topic forward.Topic, revision int64, forceSnapshot bool) (Delta, bool, error) {
	t := l.topics[topic]
	d := Delta{Revision: revision, Age: now - t.confirmedAt}
	if len(t.entries) == 0 {
		return d, false, nil
	}
	last := t.entries[len(t.entries)-1].revision
	if last < revision {
		return d, false, nil
	}
	d.Revision = last
	if from := t.lastEntryAt(revision); from >= 0 {
		for _, e := range t.entries[from+1:] {
			if e.update != nil {
				d.Updates = append(d.Updates, e.update)
			}
		}
		if n := len(d.Updates); topic == forward.ConfigTopic && n > 1 {
			d.Updates = d.Updates[n-1:] // a configuration replaces all earlier ones
		}
		return d, len(d.Updates) > 0, nil
	}
	if t.snapshot == nil {
		raw, err := l.encode(t.fullUpdate())
		if err != nil {
			return d, false, err
		}
		t.snapshot = raw
	}
	if len(t.snapshot) > maxSnapshotBytes && !forceSnapshot {
		d.Revision, d.Gap = revision, true
		return d, true, nil
	}
	d.Full, d.Updates = true, []json.RawMessage{t.snapshot}
	return d, true, nil
}

// lastEntryAt returns the index of the entry after which the changes since a revision
// begin, or -1 if the log does not hold them. A revision between two entries is one that
// the gateway got from the store itself. The next entry then repeats some changes that the
// gateway has already applied, which leads to the same state, unless that entry is the
// difference between two lists.
func (t *topicLog) lastEntryAt(revision int64) int {
	from := -1
	for i, e := range t.entries {
		if e.revision <= revision {
			from = i
		}
	}
	if from < 0 || t.entries[from].revision == revision || from+1 == len(t.entries) || !t.entries[from+1].fromList {
		return from
	}
	return -1
}

// fullUpdate returns the state of the topic as a full list.
func (t *topicLog) fullUpdate() *forward.Update {
	u := &forward.Update{Full: true}
	if t.config != nil {
		u.Configs = []*forward.Config{t.config}
	}
	for _, w := range t.workers {
		u.Workers = append(u.Workers, forward.WorkerChange{Worker: w, ColdFor: t.coldFor[w.ID]})
	}
	for _, r := range t.rollouts {
		u.Rollouts = append(u.Rollouts, forward.RolloutChange{Rollout: r})
	}
	for _, c := range t.condemnations {
		u.Condemnations = append(u.Condemnations, forward.CondemnationChange{Condemnation: c})
	}
	for domain := range t.evacuations {
		u.Evacuations = append(u.Evacuations, forward.EvacuationChange{FailureDomain: domain})
	}
	return u
}

// encode encodes and compresses an update without its faults, which are logged by the
// process that read them from the store.
func (l *UpdateLog) encode(u *forward.Update) (json.RawMessage, error) {
	encoded := *u
	encoded.Faults = nil
	raw, err := json.Marshal(&encoded)
	if err != nil {
		return nil, eris.Wrap(err, "update cannot be encoded")
	}
	return l.compressor.compress(raw)
}

// Merge decodes the updates of a Delta and merges them into one. It returns an error if one
// of them cannot be decoded or holds a null configuration.
func Merge(d Delta) (forward.Update, error) {
	out := forward.Update{Revision: d.Revision, Full: d.Full, Age: d.Age, Relayed: true}
	for _, encoded := range d.Updates {
		var u forward.Update
		raw, err := decompress(encoded)
		if err != nil {
			return forward.Update{}, err
		}
		if err := json.Unmarshal(raw, &u); err != nil {
			return forward.Update{}, eris.Wrap(err, "update of a relay cannot be decoded")
		}
		if slices.Contains(u.Configs, nil) {
			return forward.Update{}, eris.New("update of a relay holds a configuration that is null")
		}
		out.Configs = append(out.Configs, u.Configs...)
		out.Workers = append(out.Workers, u.Workers...)
		out.Rollouts = append(out.Rollouts, u.Rollouts...)
		out.Condemnations = append(out.Condemnations, u.Condemnations...)
		out.Evacuations = append(out.Evacuations, u.Evacuations...)
	}
	return out, nil
}
