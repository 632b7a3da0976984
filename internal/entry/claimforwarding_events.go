package entry

import (
	"time"

	"github.com/borageflow/borageflow/api"
)

// ClaimOffered is a claim that another entry forwarded to this one. It is
// answered by exactly one AnswerPeerClaim with the same ID.
type ClaimOffered struct {
	ID     uint64
	Params api.ClaimParams
}

// ClaimEndOffered is the end of a claim that another entry forwarded to this
// one. It is answered by one AnswerPeerClaimEnd with the same ID when the end is
// stored.
type ClaimEndOffered struct {
	ID     uint64
	Params api.ClaimEndParams
}

// ClaimHanded carries the answer to a ForwardClaim or its error.
type ClaimHanded struct {
	Address string
	Request string
	// Result is valid when Err is nil.
	Result api.ClaimResult
	Err    error
	// NotSent states that no byte of the claim left this process.
	NotSent bool
}

// ClaimEndHanded carries the answer to a ForwardClaimEnd. The end is stored when
// Err is nil.
type ClaimEndHanded struct {
	Request string
	Err     error
}

func (ClaimOffered) event()    {}
func (ClaimEndOffered) event() {}
func (ClaimHanded) event()     {}
func (ClaimEndHanded) event()  {}

// claimEvent is an event of claim forwarding.
type claimEvent interface {
	Event
	claimEvent()
}

func (ClaimOffered) claimEvent()    {}
func (ClaimEndOffered) claimEvent() {}
func (ClaimHanded) claimEvent()     {}
func (ClaimEndHanded) claimEvent()  {}

func (c *Core) handleClaimEvent(now time.Time, e claimEvent) {
	switch e := e.(type) {
	case ClaimOffered:
		c.handlePeerClaim(now, e)
	case ClaimEndOffered:
		c.handlePeerClaimEnd(now, e)
	case ClaimHanded:
		c.handleForwardClaimDone(now, e)
	case ClaimEndHanded:
		c.handleForwardClaimEndDone(now, e)
	}
}

// HandClaim forwards a claim to the entry that is assigned to its shard. It is
// answered by exactly one ForwardClaimDone, at the latest after Timeout.
type HandClaim struct {
	Address string
	Timeout time.Duration
	Params  api.ClaimParams
}

// HandClaimEnd forwards the end of a claim to the entry that decided it. It is
// answered by exactly one ForwardClaimEndDone, at the latest after Timeout.
type HandClaimEnd struct {
	Address string
	Timeout time.Duration
	Params  api.ClaimEndParams
}

// AnswerClaim sends the decision on the PeerClaimReceived with the same ID.
type AnswerClaim struct {
	ID     uint64
	Result api.ClaimResult
}

// AnswerClaimEnd confirms the PeerClaimEndReceived with the same ID.
type AnswerClaimEnd struct{ ID uint64 }

func (HandClaim) effect()      {}
func (HandClaimEnd) effect()   {}
func (AnswerClaim) effect()    {}
func (AnswerClaimEnd) effect() {}
