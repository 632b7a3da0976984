package membership

import (
	"errors"
	"fmt"
	"slices"
	"time"

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

// configState is the part of Exchange that concerns manifests.
type configState struct {
	held *manifest.Snapshot
	// pending came from the store at start and waits for the word of a peer: a
	// restored store may hold an older manifest than the peers.
	pending *manifest.Snapshot
	// peerHolds is set once a peer named a revision that it holds.
	peerHolds bool
	rejected  []api.RejectedManifest

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

// applicable reports whether a revision would supersede the one in force and has
// not been found invalid.
func (x *Exchange) applicable(revision api.Revision) bool {
	return manifest.Newer(revision, x.Revision()) && !x.isRejected(revision)
}

func (x *Exchange) isRejected(revision api.Revision) bool {
	return slices.ContainsFunc(x.config.rejected, func(r api.RejectedManifest) bool { return r.Revision == revision })
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

// compile returns nil for a manifest that is not applicable or invalid. An
// invalid one is remembered, so that it is neither fetched nor checked again.
func (x *Exchange) compile(revision api.Revision, raw []byte) *manifest.Snapshot {
	if !x.applicable(revision) {
		return nil
	}
	snapshot, err := x.cfg.Compile(raw, revision)
	if err == nil {
		return snapshot
	}
	rejected := api.RejectedManifest{Revision: revision, Reasons: reasons(err)}
	if len(x.config.rejected) >= maxRejected {
		x.config.rejected = x.config.rejected[1:]
	}
	x.config.rejected = append(x.config.rejected, rejected)
	x.emit(RejectConfig{Rejected: rejected})
	x.raise(AlarmManifestRejected, fmt.Sprintf("manifest %d.%d is invalid: %s", revision.Generation, revision.Version, rejected.Reasons[0]))
	return nil
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
	return slices.ContainsFunc(x.config.rejected, func(r api.RejectedManifest) bool {
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
	behind := manifest.Newer(c.wanted, c.pending.Revision)
	if !behind && (c.peerHolds || waited >= x.cfg.BootWait) || waited >= bootWaits*x.cfg.BootWait {
		x.apply(c.pending)
	}
}

// Rejected returns the invalid manifests, oldest first.
func (x *Exchange) Rejected() []api.RejectedManifest { return slices.Clone(x.config.rejected) }
