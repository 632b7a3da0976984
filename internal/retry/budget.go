package retry

import (
	"math"
	"time"
)

// BudgetOptions configures the retry budget of one customer. A zero field takes
// its default. One token pays for one retry or hedge.
type BudgetOptions struct {
	// EarnedPerRequest is the number of tokens that each first attempt adds; default 0.1.
	EarnedPerRequest float64
	// Burst is the maximum number of tokens; default 10.
	Burst float64
	// RefillPerSecond is the number of tokens added per second, so that a customer with few
	// requests can retry; default 0.1.
	RefillPerSecond float64
}

// Budget is a token bucket that limits the retries and hedges of one customer to a
// share of its first attempts.
type Budget struct {
	opts       BudgetOptions
	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a budget with one retry. A full one would let each start of a process add as many as the
// budget holds.
func NewBudget(opts BudgetOptions) *Budget {
	if opts.EarnedPerRequest <= 0 {
		opts.EarnedPerRequest = 0.1
	}
	if opts.Burst <= 0 {
		opts.Burst = 10
	}
	if opts.RefillPerSecond <= 0 {
		opts.RefillPerSecond = 0.1
	}
	return &Budget{opts: opts, tokens: math.Min(1, opts.Burst)}
}

// SetOptions replaces the options and keeps the tokens, up to the new maximum.
func (b *Budget) SetOptions(opts BudgetOptions) {
	tokens := b.tokens
	*b = Budget{opts: NewBudget(opts).opts, refilledAt: b.refilledAt}
	b.tokens = math.Min(tokens, b.opts.Burst)
}

// RecordFirstAttempt adds the tokens that the first attempt of a request earns.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.refill(now)
	b.earn(b.opts.EarnedPerRequest)
}

// Allow takes a token for a retry or hedge. It returns false when none is left.
func (b *Budget) Allow(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available reports whether a token is left, without taking it.
func (b *Budget) Available(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// Left returns the number of tokens.
func (b *Budget) Left(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

func (b *Budget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.earn(now.Sub(b.refilledAt).Seconds() * b.opts.RefillPerSecond)
	}
	if b.refilledAt.IsZero() || now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

func (b *Budget) earn(n float64) { b.tokens = math.Min(b.tokens+n, b.opts.Burst) }

// Budgets holds the retry budgets of all customers.
type Budgets struct {
	opts       BudgetOptions
	byCustomer map[string]*Budget
}

// NewBudgets returns a set without budgets.
func NewBudgets(opts BudgetOptions) *Budgets {
	return &Budgets{opts: opts, byCustomer: map[string]*Budget{}}
}

// ForCustomer returns the budget of a customer and creates it if necessary.
func (b *Budgets) ForCustomer(customer string) *Budget {
	budget, ok := b.byCustomer[customer]
	if !ok {
		budget = NewBudget(b.opts)
		b.byCustomer[customer] = budget
	}
	return budget
}

// Retain drops the budgets of all customers for which isKept returns false.
func (b *Budgets) Retain(isKept func(customer string) bool) {
	for name := range b.byCustomer {
		if !isKept(name) {
			delete(b.byCustomer, name)
		}
	}
}
