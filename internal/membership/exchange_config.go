package membership

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

const (
	// maxRejected bounds the remembered invalid manifests.
	maxRejected = 8
	// maxHolders bounds the remembered peers that hold a wanted revision.
	maxHolders = 8
	// maxFetches ends the search for a revision that no holder hands over; the next
	// digest that names it starts it again.
	maxFetches = 40
	// bootWaits is the number of BootWaits after which a starting process takes the
	// store's manifest although a peer named a newer one that it did not hand over.
	bootWaits = 4
)

// rejection remembers an invalid manifest.
type rejection struct {
	api.RejectedManifest
	// content is the hash of the manifest. After a rollback of the store another
	// manifest may get the same revision.
	content uint64
	// settled is set once a peer handed over the same content. Until then, a peer
	// that announces the revision may hold another manifest under it.
	settled bool
}

// configState is the part of Exchange that concerns manifests.
type configState struct {
	held *manifest.Snapshot
	// pending came from the store at start and waits for the word of a peer: a
	// restored store may hold an older manifest than the peers.
	pending *manifest.Snapshot
	// peerHolds is set once a peer named a revision that it holds.
	peerHolds bool
	rejected  []rejection

	// wanted is the highest revision that a peer announced.
	wanted     api.Revision
	holders    []Peer
	fetches    int
	fetchUntil time.Time
}

// announced takes a peer's word on the revision that it holds.
func (x *Exchange) announced(from Peer, revision api.Revision) {
	c := &x.config
	if revision == (api.Revision{}) {
		return
	}
	c.peerHolds = true
	if !x.applicable(revision) || manifest.Newer(c.wanted, revision) {
		return
	}
	if manifest.Newer(revision, c.wanted) {
		c.wanted = revision
		c.holders = c.holders[:0]
		c.fetches = 0
	}
	if !slices.Contains(c.holders, from) {
		if len(c.holders) >= maxHolders {
			c.holders = c.holders[1:]
		}
		c.holders = append(c.holders, from)
	}
	x.fetch()
}

// applicable reports whether a revision would supersede the one in force and is
// not known to be invalid wherever it is held.
func (x *Exchange) applicable(revision api.Revision) bool {
	r := x.rejectionOf(revision)
	return manifest.Newer(revision, x.Revision()) && (r == nil || !r.settled)
}

func (x *Exchange) rejectionOf(revision api.Revision) *rejection {
	for i := range x.config.rejected {
		if x.config.rejected[i].Revision == revision {
			return &x.config.rejected[i]
		}
	}
	return nil
}

// fetch asks a holder for the wanted revision unless a fetch is under way. From
// the second try on it asks two holders, because the first one did not answer.
func (x *Exchange) fetch() {
	c := &x.config
	if len(c.holders) == 0 || !x.applicable(c.wanted) || x.now.Before(c.fetchUntil) {
		return
	}
	if c.fetches >= maxFetches {
		c.wanted, c.holders, c.fetches = api.Revision{}, c.holders[:0], 0
		return
	}
	first := x.rng.IntN(len(c.holders))
	x.emit(FetchConfig{From: c.holders[first]})
	if c.fetches > 0 && len(c.holders) > 1 {
		x.emit(FetchConfig{From: c.holders[(first+1)%len(c.holders)]})
	}
	c.fetches++
	c.fetchUntil = x.now.Add(x.cfg.FetchTimeout)
}

func (x *Exchange) tickConfig() {
	x.fetch()
	x.releasePending()
}

func (x *Exchange) configReceived(e ConfigReceived) {
	x.config.peerHolds = true
	x.config.fetchUntil = x.now
	x.consider(e.Offer.Revision, e.Offer.Manifest)
	if r := x.rejectionOf(e.Offer.Revision); r != nil && r.content == xxhash.Sum64(e.Offer.Manifest) {
		r.settled = true
	}
	x.fetch()
}

func (x *Exchange) answerConfig(to Peer) {
	if x.config.held != nil {
		x.emit(AnswerConfig{To: to, Offer: offer(x.config.held)})
	}
}

// consider applies a manifest if it is valid and supersedes the one in force.
func (x *Exchange) consider(revision api.Revision, raw []byte) {
	if snapshot := x.compile(revision, raw); snapshot != nil {
		x.apply(snapshot)
	}
}

// compile returns nil for a manifest that is not newer or invalid. An invalid one
// is remembered, so that it is not checked again.
func (x *Exchange) compile(revision api.Revision, raw []byte) *manifest.Snapshot {
	if !manifest.Newer(revision, x.Revision()) {
		return nil
	}
	content := xxhash.Sum64(raw)
	if r := x.rejectionOf(revision); r != nil && r.content == content {
		return nil
	}
	snapshot, err := x.cfg.Compile(raw, revision)
	if err == nil {
		return snapshot
	}
	x.reject(rejection{
		RejectedManifest: api.RejectedManifest{Revision: revision, Reasons: reasons(err)},
		content:          content,
	})
	return nil
}

func (x *Exchange) reject(r rejection) {
	c := &x.config
	c.rejected = slices.DeleteFunc(c.rejected, func(old rejection) bool { return old.Revision == r.Revision })
	if len(c.rejected) >= maxRejected {
		c.rejected = c.rejected[1:]
	}
	c.rejected = append(c.rejected, r)
	x.emit(RejectConfig{Rejected: r.RejectedManifest})
	x.raise(AlarmManifestRejected, fmt.Sprintf("manifest %d.%d is invalid: %s", r.Revision.Generation, r.Revision.Version, r.Reasons[0]))
}

func reasons(err error) []string {
	var faults schemacheck.Faults
	if !errors.As(err, &faults) || len(faults) == 0 {
		return []string{err.Error()}
	}
	out := make([]string, len(faults))
	for i, fault := range faults {
		out[i] = fault.String()
	}
	return out
}

func (x *Exchange) apply(snapshot *manifest.Snapshot) {
	c := &x.config
	c.held = snapshot
	if c.pending != nil && manifest.Newer(snapshot.Revision, c.pending.Revision) {
		// The store may hold less than the peers; a read will tell.
		x.store.nextRead = x.now
	}
	c.pending = nil
	if !x.rejectedAbove(snapshot.Revision) {
		x.clear(AlarmManifestRejected)
	}
	x.dropCutBacks(snapshot)
	x.emit(ApplyConfig{Snapshot: snapshot})
	x.push(hotRounds)
}

func (x *Exchange) rejectedAbove(revision api.Revision) bool {
	return slices.ContainsFunc(x.config.rejected, func(r rejection) bool {
		return manifest.Newer(r.Revision, revision)
	})
}

// releasePending applies the manifest that the store handed out at start, once a
// peer is known not to hold a newer one or none answers in time.
func (x *Exchange) releasePending() {
	c := &x.config
	if c.pending == nil {
		return
	}
	waited := x.now.Sub(x.started)
	alone := x.listSeen && x.table.Len() == 0 && len(x.cfg.Seeds) == 0
	behind := manifest.Newer(c.wanted, c.pending.Revision)
	if alone || !behind && (c.peerHolds || waited >= x.cfg.BootWait) || waited >= bootWaits*x.cfg.BootWait {
		x.apply(c.pending)
	}
}

// Rejected returns the invalid manifests, oldest first.
func (x *Exchange) Rejected() []api.RejectedManifest {
	out := make([]api.RejectedManifest, len(x.config.rejected))
	for i, r := range x.config.rejected {
		out[i] = r.RejectedManifest
	}
	return out
}
