package entry

import (
	"time"

	"github.com/borageflow/borageflow/api"
)

// PeerClaimReceived is a claim that another entry forwarded to this one. It is
// answered by exactly one AnswerPeerClaim with the same ID.
type PeerClaimReceived struct {
	ID     uint64
	Params api.ClaimParams
}

// PeerClaimEndReceived is the end of a claim that another entry forwarded to this
// one. It is answered by one AnswerPeerClaimEnd with the same ID when the end is
// stored.
type PeerClaimEndReceived struct {
	ID     uint64
	Params api.ClaimEndParams
}

// ForwardClaimDone carries the answer to a ForwardClaim or its error.
type ForwardClaimDone struct {
	Address string
	Request string
	// Result is valid when Err is nil.
	Result api.ClaimResult
	Err    error
	// NotSent states that no byte of the claim left this process.
	NotSent bool
}

// ForwardClaimEndDone carries the answer to a ForwardClaimEnd. The end is stored when
// Err is nil.
type ForwardClaimEndDone struct {
	Request string
	Err     error
}

func (PeerClaimReceived) event()    {}
func (PeerClaimEndReceived) event() {}
func (ForwardClaimDone) event()     {}
func (ForwardClaimEndDone) event()  {}

// claimEvent is an event of claim forwarding.
type claimEvent interface {
	Event
	claimEvent()
}

func (PeerClaimReceived) claimEvent()    {}
func (PeerClaimEndReceived) claimEvent() {}
func (ForwardClaimDone) claimEvent()     {}
func (ForwardClaimEndDone) claimEvent()  {}

func (c *Core) handleClaimEvent(now time.Time, e claimEvent) {
	switch e := e.(type) {
	case PeerClaimReceived:
		c.handlePeerClaim(now, e)
	case PeerClaimEndReceived:
		c.handlePeerClaimEnd(now, e)
	case ForwardClaimDone:
		c.handleForwardClaimDone(now, e)
	case ForwardClaimEndDone:
		c.handleForwardClaimEndDone(now, e)
	}
}

// ForwardClaim forwards a claim to the preferred writer of its shard. It is answered
// by exactly one ForwardClaimDone, at the latest after Timeout.
type ForwardClaim struct {
	Address string
	Timeout time.Duration
	Params  api.ClaimParams
}

// ForwardClaimEnd forwards the end of a claim to the entry that decided it. It is
// answered by exactly one ForwardClaimEndDone, at the latest after Timeout.
type ForwardClaimEnd struct {
	Address string
	Timeout time.Duration
	Params  api.ClaimEndParams
}

// AnswerPeerClaim sends the decision on the PeerClaimReceived with the same ID.
type AnswerPeerClaim struct {
	ID     uint64
	Result api.ClaimResult
}

// AnswerPeerClaimEnd confirms the PeerClaimEndReceived with the same ID.
type AnswerPeerClaimEnd struct{ ID uint64 }

func (ForwardClaim) effect()       {}
func (ForwardClaimEnd) effect()    {}
func (AnswerPeerClaim) effect()    {}
func (AnswerPeerClaimEnd) effect() {}
