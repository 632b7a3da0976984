package entry

import (
	"time"

	"github.com/borageflow/borageflow/api"
)

// ClaimOffered is a claim that another entry hands to this one. It is answered by
// exactly one AnswerClaim with the same ID.
type ClaimOffered struct {
	ID     uint64
	Params api.ClaimParams
}

// ClaimEndOffered is the end of a claim that another entry handed to this one. It
// is answered by one AnswerClaimEnd when the end is stored.
type ClaimEndOffered struct {
	ID     uint64
	Params api.ClaimEndParams
}

// ClaimHanded is the answer to a HandClaim, or its failure.
type ClaimHanded struct {
	Address string
	Request string
	// Result is valid when Err is nil.
	Result api.ClaimResult
	Err    error
	// NotSent means that no byte of the claim left this process.
	NotSent bool
}

// ClaimEndHanded is the answer to a HandClaimEnd; without Err the end is stored.
type ClaimEndHanded struct {
	Request string
	Err     error
}

func (ClaimOffered) event()    {}
func (ClaimEndOffered) event() {}
func (ClaimHanded) event()     {}
func (ClaimEndHanded) event()  {}

// claimEvent is an event of the hand-over of claims.
type claimEvent interface {
	Event
	claimEvent()
}

func (ClaimOffered) claimEvent()    {}
func (ClaimEndOffered) claimEvent() {}
func (ClaimHanded) claimEvent()     {}
func (ClaimEndHanded) claimEvent()  {}

func (c *Core) claimEvent(now time.Time, e claimEvent) {
	switch e := e.(type) {
	case ClaimOffered:
		c.claimOffered(now, e)
	case ClaimEndOffered:
		c.claimEndOffered(now, e)
	case ClaimHanded:
		c.claimHanded(now, e)
	case ClaimEndHanded:
		c.claimEndHanded(now, e)
	}
}

// HandClaim hands a claim to the usual writer of its shard. It is answered by
// exactly one ClaimHanded, at the latest after Timeout.
type HandClaim struct {
	Address string
	Timeout time.Duration
	Params  api.ClaimParams
}

// HandClaimEnd states the end of a handed claim. It is answered by exactly one
// ClaimEndHanded, at the latest after Timeout.
type HandClaimEnd struct {
	Address string
	Timeout time.Duration
	Params  api.ClaimEndParams
}

// AnswerClaim answers a ClaimOffered.
type AnswerClaim struct {
	ID     uint64
	Result api.ClaimResult
}

// AnswerClaimEnd answers a ClaimEndOffered.
type AnswerClaimEnd struct{ ID uint64 }

func (HandClaim) effect()      {}
func (HandClaimEnd) effect()   {}
func (AnswerClaim) effect()    {}
func (AnswerClaimEnd) effect() {}
