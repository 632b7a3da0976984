package placement

import "time"

// FenceOptions describe the engine beside a sidecar.
type FenceOptions struct {
	// Checks states that the engine refuses an order with an old fencing token.
	Checks bool
	// MaxOrder is the longest time from the moment a sidecar sends an order until
	// the engine has ended it, whatever becomes of the sidecar; default 5 min.
	MaxOrder time.Duration
	// Highest is the highest token recorded in the platform object.
	Highest int
}

const defaultMaxOrder = 5 * time.Minute

// Fence is the state machine at a sidecar that passes orders to its engine. It
// keeps the highest token seen and refuses lower ones. An engine that does not
// check tokens gets one order at a time, none before an order that a predecessor
// may have sent has certainly ended, and none after an order of unknown outcome
// until its longest time has passed.
type Fence struct {
	opts    FenceOptions
	highest int
	// quiet is the time before which an unchecking engine may still carry out an
	// earlier order.
	quiet   time.Time
	waiting *Order
	sent    *Order
}

// Event is an input of Handle.
type Event interface{ isEvent() }

// OrderReceived brings an order from the planner.
type OrderReceived struct{ Order Order }

// OrderEnded tells that the engine answered an order, or that the answer is
// missing (Known is false).
type OrderEnded struct {
	Fence int
	Known bool
	// Done states that the engine carried it out.
	Done bool
	// Highest is the token that the engine named when it refused an old one.
	Highest int
}

// OrderStarted tells that a call of the order is about to be written to the
// engine. The sidecar may have waited for running requests since Send, and an
// order may take several calls.
type OrderStarted struct{ Fence int }

// Timer tells that the time named by a Wait has come.
type Timer struct{}

func (OrderReceived) isEvent() {}
func (OrderEnded) isEvent()    {}
func (OrderStarted) isEvent()  {}
func (Timer) isEvent()         {}

// Decision is an output of Handle.
type Decision interface{ isDecision() }

// Send passes an order to the engine. The time must be read and Valid checked
// once more directly before the write.
type Send struct{ Order Order }

// Refuse answers an order with a token that is not the highest.
type Refuse struct{ Fence, Highest int }

// Replace answers a waiting order that a newer one replaced before it was sent.
type Replace struct{ Fence int }

// Wait asks for a Timer event.
type Wait struct{ Until time.Time }

// Report tells the planner how an order ended.
type Report struct {
	Fence int
	// Done states that the engine carried it out; false with Known false means
	// that the versions must be read from the engine.
	Done, Known bool
}

func (Send) isDecision()    {}
func (Refuse) isDecision()  {}
func (Replace) isDecision() {}
func (Wait) isDecision()    {}
func (Report) isDecision()  {}

// NewFence returns the fence of a sidecar that started at now.
func NewFence(now time.Time, opts FenceOptions) *Fence {
	if opts.MaxOrder <= 0 {
		opts.MaxOrder = defaultMaxOrder
	}
	f := &Fence{opts: opts, highest: opts.Highest}
	if !opts.Checks {
		f.quiet = now.Add(opts.MaxOrder)
	}
	return f
}

// Highest returns the highest token seen.
func (f *Fence) Highest() int { return f.highest }

// Valid reports whether an order may still be sent: no newer one was seen.
func (f *Fence) Valid(order Order) bool {
	return order.Fence == f.highest && f.sent != nil && f.sent.Fence == order.Fence
}

// Handle returns the decisions that follow an event.
func (f *Fence) Handle(now time.Time, event Event) []Decision {
	switch e := event.(type) {
	case OrderReceived:
		return f.received(now, e.Order)
	case OrderEnded:
		return f.ended(now, e)
	case OrderStarted:
		if f.sent != nil && f.sent.Fence == e.Fence && !f.opts.Checks {
			f.quiet = now.Add(f.opts.MaxOrder)
		}
	case Timer:
		return f.next(now)
	}
	return nil
}

func (f *Fence) received(now time.Time, order Order) []Decision {
	if order.Fence <= f.highest {
		return []Decision{Refuse{Fence: order.Fence, Highest: f.highest}}
	}
	f.highest = order.Fence
	var out []Decision
	if f.waiting != nil {
		out = append(out, Replace{Fence: f.waiting.Fence})
	}
	f.waiting = &order
	return append(out, f.next(now)...)
}

// next sends the waiting order when the engine may take it.
func (f *Fence) next(now time.Time) []Decision {
	if f.waiting == nil || f.sent != nil {
		return nil
	}
	if now.Before(f.quiet) {
		return []Decision{Wait{Until: f.quiet}}
	}
	f.sent, f.waiting = f.waiting, nil
	if !f.opts.Checks {
		f.quiet = now.Add(f.opts.MaxOrder)
	}
	return []Decision{Send{Order: *f.sent}}
}

func (f *Fence) ended(now time.Time, e OrderEnded) []Decision {
	if f.sent == nil || f.sent.Fence != e.Fence {
		return nil
	}
	f.sent = nil
	f.highest = max(f.highest, e.Highest)
	if e.Known {
		f.quiet = time.Time{}
	}
	var out []Decision
	if f.waiting != nil && f.waiting.Fence < f.highest {
		out = append(out, Refuse{Fence: f.waiting.Fence, Highest: f.highest})
		f.waiting = nil
	}
	out = append(out, Report{Fence: e.Fence, Done: e.Done && e.Known, Known: e.Known})
	return append(out, f.next(now)...)
}
