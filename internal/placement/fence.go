package placement

import "time"

// FenceOptions configures a Fence for the engine of a sidecar.
type FenceOptions struct {
	// EngineChecksTokens reports whether the engine refuses orders with an outdated fencing
	// token.
	EngineChecksTokens bool
	// MaxOrderDuration is the longest time from the moment at which a sidecar sends an order
	// until the engine has finished it, even if the sidecar stops in between. The
	// default is 5 min.
	MaxOrderDuration time.Duration
	// HighestToken is the highest token recorded in the platform object.
	HighestToken int
}

const defaultMaxOrderDuration = 5 * time.Minute

// Fence is the state machine of a sidecar that forwards orders to its engine. It
// tracks the highest fencing token and refuses orders with a lower or equal one.
// Orders are forwarded one at a time. If the engine does not check tokens, an order
// is also delayed until every order that a previous sidecar may have sent has
// finished, and after an order of unknown outcome until the maximum duration of that
// order has passed.
type Fence struct {
	opts         FenceOptions
	highestToken int
	// engineBusyUntil is the time until which an engine that does not check tokens
	// may still be executing an earlier order.
	engineBusyUntil time.Time
	waiting         *Order
	sent            *Order
}

// FenceEvent is an input of Fence.Handle.
type FenceEvent interface{ isFenceEvent() }

// OrderReceived reports an order received from the holder of the plan.
type OrderReceived struct{ Order Order }

// OrderEnded reports that the engine answered an order, or that the answer was lost.
// Fence is the token of the order.
type OrderEnded struct {
	Fence int
	// OutcomeKnown reports whether the engine answered the order.
	OutcomeKnown bool
	// Done reports whether the engine executed the order.
	Done bool
	// HighestToken is the token that the engine returned when it refused the order
	// because of an outdated token, or 0.
	HighestToken int
}

// OrderStarted reports that a call of a forwarded order is about to be sent to the
// engine. It restarts the maximum duration of the order, because the sidecar may
// have waited for running requests since then and an order may take several calls.
type OrderStarted struct{ Fence int }

// TimerFired reports that the requested time has been reached.
type TimerFired struct{}

func (OrderReceived) isFenceEvent() {}
func (OrderEnded) isFenceEvent()    {}
func (OrderStarted) isFenceEvent()  {}
func (TimerFired) isFenceEvent()    {}

// FenceDecision is an output of Fence.Handle.
type FenceDecision interface{ isFenceDecision() }

// ForwardOrder forwards an order to the engine. Directly before sending it, the caller must
// read the time again and check again that the order is still current.
type ForwardOrder struct{ Order Order }

// RefuseOrder answers an order whose token Fence is outdated. HighestToken is the current token.
type RefuseOrder struct{ Fence, HighestToken int }

// DiscardOrder answers a waiting order that was replaced by a newer one before it was
// forwarded.
type DiscardOrder struct{ Fence int }

// SetTimer requests a timer event at the time Until.
type SetTimer struct{ Until time.Time }

// ReportOutcome reports the outcome of an order to the holder of the plan.
type ReportOutcome struct {
	Fence int
	// Done reports whether the engine executed the order. If the outcome is not known,
	// the versions must be read from the engine.
	Done, OutcomeKnown bool
}

func (ForwardOrder) isFenceDecision()  {}
func (RefuseOrder) isFenceDecision()   {}
func (DiscardOrder) isFenceDecision()  {}
func (SetTimer) isFenceDecision()      {}
func (ReportOutcome) isFenceDecision() {}

// NewFence returns the Fence of a sidecar that started at now. If the engine does not
// check tokens, it forwards no order before now plus the maximum duration of an order.
func NewFence(now time.Time, opts FenceOptions) *Fence {
	if opts.MaxOrderDuration <= 0 {
		opts.MaxOrderDuration = defaultMaxOrderDuration
	}
	f := &Fence{opts: opts, highestToken: opts.HighestToken}
	if !opts.EngineChecksTokens {
		f.engineBusyUntil = now.Add(opts.MaxOrderDuration)
	}
	return f
}

// HighestToken returns the highest token recorded, received or returned by the engine.
func (f *Fence) HighestToken() int { return f.highestToken }

// IsCurrent reports whether a forwarded order may still be sent to the engine, that is,
// whether no newer one was received.
func (f *Fence) IsCurrent(order Order) bool {
	return order.Fence == f.highestToken && f.sent != nil && f.sent.Fence == order.Fence
}

// Handle processes an event at time now and returns the resulting decisions.
func (f *Fence) Handle(now time.Time, event FenceEvent) []FenceDecision {
	switch e := event.(type) {
	case OrderReceived:
		return f.handleReceived(now, e.Order)
	case OrderEnded:
		return f.handleEnded(now, e)
	case OrderStarted:
		if f.sent != nil && f.sent.Fence == e.Fence && !f.opts.EngineChecksTokens {
			f.engineBusyUntil = now.Add(f.opts.MaxOrderDuration)
		}
	case TimerFired:
		return f.sendWaiting(now)
	}
	return nil
}

func (f *Fence) handleReceived(now time.Time, order Order) []FenceDecision {
	if order.Fence <= f.highestToken {
		return []FenceDecision{RefuseOrder{Fence: order.Fence, HighestToken: f.highestToken}}
	}
	f.highestToken = order.Fence
	var out []FenceDecision
	if f.waiting != nil {
		out = append(out, DiscardOrder{Fence: f.waiting.Fence})
	}
	f.waiting = &order
	return append(out, f.sendWaiting(now)...)
}

// sendWaiting forwards the waiting order if the engine is free, or requests a timer
// if the engine may still be executing an earlier order.
func (f *Fence) sendWaiting(now time.Time) []FenceDecision {
	if f.waiting == nil || f.sent != nil {
		return nil
	}
	if now.Before(f.engineBusyUntil) {
		return []FenceDecision{SetTimer{Until: f.engineBusyUntil}}
	}
	f.sent, f.waiting = f.waiting, nil
	if !f.opts.EngineChecksTokens {
		f.engineBusyUntil = now.Add(f.opts.MaxOrderDuration)
	}
	return []FenceDecision{ForwardOrder{Order: *f.sent}}
}

func (f *Fence) handleEnded(now time.Time, e OrderEnded) []FenceDecision {
	if f.sent == nil || f.sent.Fence != e.Fence {
		return nil
	}
	f.sent = nil
	f.highestToken = max(f.highestToken, e.HighestToken)
	if e.OutcomeKnown {
		f.engineBusyUntil = time.Time{}
	}
	var out []FenceDecision
	if f.waiting != nil && f.waiting.Fence < f.highestToken {
		out = append(out, RefuseOrder{Fence: f.waiting.Fence, HighestToken: f.highestToken})
		f.waiting = nil
	}
	out = append(out, ReportOutcome{Fence: e.Fence, Done: e.Done && e.OutcomeKnown, OutcomeKnown: e.OutcomeKnown})
	return append(out, f.sendWaiting(now)...)
}
