package forward

import "time"

// Patience learns how long the head of an answer usually takes and from that when it
// counts as lost. Workers lose answers and hang while their health is good; waiting for a
// multiple of the target made every such answer late. A quantile is followed and not a
// mean, so that up to a fifth of lost answers does not raise it, while a general slow-down
// does and ends the repeats.
type Patience struct {
	usual map[patienceKey]*usualHead
}

type patienceKey struct {
	route string
	heavy bool
}

type usualHead struct {
	// quantile is the followed quantile of the time to the head, for a prompt of mean length.
	quantile float64
	// tokens is the mean length of the prompts.
	tokens float64
	seen   int
}

const (
	// followed is the quantile that is followed.
	followed = 0.75
	// quantileStep is the relative step of the quantile at each answer; the first ones move it
	// more.
	quantileStep = 0.05
	// patienceFactor is how many times the quantile a head is waited for.
	patienceFactor = 4.0
	// Bounds of the patience as parts of the target. The lower ones are well above the usual
	// time on a calm day; the upper one applies while nothing is known.
	minStreamPatience = 0.5
	minPlainPatience  = 0.6
	maxPatience       = 3.0
	// firstSamples is the number of answers before the quantile is used.
	firstSamples = 10
	tokenGain    = 0.05
)

// NewPatience returns a Patience that has seen nothing.
func NewPatience() *Patience { return &Patience{usual: map[patienceKey]*usualHead{}} }

// Head records that the head of an answer took a time, or that it was given up after it.
func (p *Patience) Head(route string, heavy bool, tokens int, took time.Duration) {
	key := patienceKey{route, heavy}
	u := p.usual[key]
	if u == nil {
		u = &usualHead{quantile: took.Seconds(), tokens: float64(tokens)}
		p.usual[key] = u
	}
	u.seen++
	u.tokens += tokenGain * (float64(tokens) - u.tokens)
	step := max(quantileStep, 1/(2+float64(u.seen)/4))
	if took.Seconds()/u.scale(tokens) > u.quantile {
		u.quantile *= 1 + step*followed
	} else {
		u.quantile *= 1 - step*(1-followed)
	}
}

// scale is how much longer than a prompt of mean length one of a number of tokens takes;
// half of the time does not depend on the length.
func (u *usualHead) scale(tokens int) float64 {
	if u.tokens <= 0 {
		return 1
	}
	return 0.5 + 0.5*float64(tokens)/u.tokens
}

// Wait is how long the head of an answer is waited for on a route.
func (p *Patience) Wait(r *Route, heavy bool, tokens int) time.Duration {
	target := r.Target.Seconds()
	longest := maxPatience * target
	u := p.usual[patienceKey{r.Name, heavy}]
	if u == nil || u.seen < firstSamples {
		return seconds(longest)
	}
	shortest := minPlainPatience * target
	if r.Kind == Stream {
		shortest = minStreamPatience * target
	}
	return seconds(min(max(patienceFactor*u.quantile*u.scale(tokens), shortest), longest))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
