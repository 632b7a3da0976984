// Package quarantine decides which requests are kept from the workers because requests like them
// end each worker that begins to answer them. It relates the ends of workers to the parts that the
// requests on them had in common. The package is pure: times are arguments, and it uses no
// goroutine, lock, clock or logger.
package quarantine

import (
	"time"
)

// Elapsed is a reading of a clock that also counts time in which the machine was suspended.
type Elapsed = time.Duration

// Part is what requests of a service may have in common: a part of their prompts, or the whole request if it
// is repeated.
type Part struct {
	Service string
	ID      uint64
}

// Action is what to do with a request.
type Action int

// The actions.
const (
	// Send means that nothing speaks against the request.
	Send Action = iota
	// SendAlone means that the request has a suspected part: one request with it is sent at a time,
	// and it is not sent on after a worker has ended under it.
	SendAlone
	// Refuse means that the request has a condemned part.
	Refuse
)

// String returns the name of the action in log lines.
func (a Action) String() string { return [...]string{"send", "send alone", "refuse"}[a] }

// Decision is the action for a request and the part that it follows from.
type Decision struct {
	Action Action
	Part   Part
	// IsWhole is set if the part is a whole request.
	IsWhole bool
	// OnProbation is set with SendAlone if the part was condemned before. Nothing presses then to
	// find out whether it still ends workers.
	OnProbation bool
}

const (
	// evidenceWindow is how long the end of a worker counts as evidence.
	evidenceWindow = time.Minute
	// fullWeightTime is the time after the beginning of its answer in which a request is fully
	// accused of the end of its worker. Workers of the users end within 0.13 s.
	fullWeightTime = 300 * time.Millisecond
	// weightHalfLife is the time in which the weight of an accusation halves after that.
	weightHalfLife = 150 * time.Millisecond
	// minWeight is the least weight of an accusation that is recorded.
	minWeight = 0.1
	// lateWeight is the accusation of a whole request that was at work for longer when its worker ended, up to
	// maxLateTime. Requests that share a part of a prompt are too many at a worker for the part to be accused.
	lateWeight  = 0.7
	maxLateTime = 30 * time.Second
	// leastUntriedWeight is the weight of one end at least without which a whole request is condemned on trial only.
	leastUntriedWeight = 0.75
)

// WholeWeight is Weight for the whole request, which is accused also of a late end: callers may repeat it.
func WholeWeight(sinceBegin time.Duration) float64 {
	if sinceBegin > maxLateTime {
		return 0
	}
	return max(Weight(sinceBegin), lateWeight)
}

// Weight returns how much a request whose answer began some time ago is accused of the end of its
// worker, 0 to 1.
func Weight(sinceBegin time.Duration) float64 {
	if sinceBegin <= fullWeightTime {
		return 1
	}
	halvings := float64(sinceBegin-fullWeightTime) / float64(weightHalfLife)
	if halvings > 8 {
		return 0
	}
	if w := exp2(-halvings); w >= minWeight {
		return w
	}
	return 0
}
