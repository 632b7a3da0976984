package retry

import (
	"math"
	"time"
)

// BudgetOptions configure the budget of one customer; zero values mean the
// defaults.
type BudgetOptions struct {
	// Share is the number of retries and hedges earned by a first attempt;
	// default 0.1.
	Share float64
	// Burst is the largest number saved up; default 10.
	Burst float64
	// Refill is how many are earned per second without traffic, so that a
	// customer with few requests can retry; default 0.1.
	Refill float64
}

// Budget bounds the retries and hedges of one customer to a share of its first
// attempts.
type Budget struct {
	opts   BudgetOptions
	tokens float64
	at     time.Time
}

// NewBudget returns a full budget.
func NewBudget(opts BudgetOptions) *Budget {
	if opts.Share <= 0 {
		opts.Share = 0.1
	}
	if opts.Burst <= 0 {
		opts.Burst = 10
	}
	if opts.Refill <= 0 {
		opts.Refill = 0.1
	}
	return &Budget{opts: opts, tokens: opts.Burst}
}

// First counts the first attempt of a request.
func (b *Budget) First(now time.Time) {
	b.refill(now)
	b.earn(b.opts.Share)
}

// Spend implements Spender.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left reports whether a retry or hedge is left.
func (b *Budget) Left(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

func (b *Budget) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.earn(now.Sub(b.at).Seconds() * b.opts.Refill)
	}
	if b.at.IsZero() || now.After(b.at) {
		b.at = now
	}
}

func (b *Budget) earn(n float64) { b.tokens = math.Min(b.tokens+n, b.opts.Burst) }

// Budgets holds the budget of every customer.
type Budgets struct {
	opts BudgetOptions
	held map[string]*Budget
}

// NewBudgets returns budgets that start full.
func NewBudgets(opts BudgetOptions) *Budgets {
	return &Budgets{opts: opts, held: map[string]*Budget{}}
}

// Of returns the budget of a customer.
func (b *Budgets) Of(customer string) *Budget {
	held, ok := b.held[customer]
	if !ok {
		held = NewBudget(b.opts)
		b.held[customer] = held
	}
	return held
}

// Keep drops the budgets of customers that keep does not name.
func (b *Budgets) Keep(keep func(customer string) bool) {
	for name := range b.held {
		if !keep(name) {
			delete(b.held, name)
		}
	}
}
