package forward

import "math"

// reuseKey identifies requests whose prompt parts are asked for about as often as each other's.
type reuseKey struct{ route, model string }

// reuse is how often the last shared part of a prompt has been asked for before.
type reuse struct{ requests, share float64 }

const (
	// reuseRequests is the number of requests whose mean is the share that was asked for before. At ten
	// requests a second it follows the last ten seconds.
	reuseRequests = 100
	// assumedUses is the number of requests for a part, from all processes within the time that it stays
	// cached, that is assumed until it is known: what is gained by gathering them hardly depends on it
	// between a half and five.
	assumedUses = 1.0
	// maxReuse bounds the share, as its logarithm is used.
	maxReuse = 0.99
)

// recordReuse records whether this process has sent the last shared part of a prompt to a worker recently.
func (p *Placer) recordReuse(now Elapsed, q *WorkerQuery) {
	if len(q.Prompt) < 2 || len(q.Exclude) > 0 || !p.weighsLeaving(q.Service) {
		return
	}
	seen := 0.0
	if holders, ok := p.cache.Peek(partKey{q.Prompt[len(q.Prompt)-2].ID, q.Model}); ok {
		for _, h := range holders {
			if h.worker != nil && now-h.usedAt <= p.opts.CacheTTL {
				seen = 1
			}
		}
	}
	key := reuseKey{q.Route, q.Model}
	r := p.reuse[key]
	if r == nil {
		r = &reuse{}
		p.reuse[key] = r
	}
	r.requests = min(r.requests+1, reuseRequests)
	r.share += (seen - r.share) / r.requests
}

// gathers reports whether requests with the same shared part are sent to the same workers of all failure
// domains, and not to workers of each one. A part that all domains ask for often is read once in each; one
// that is hardly asked for twice is not worth leaving for.
func (p *Placer) gathers(q *WorkerQuery) bool {
	domains := float64(p.statsFor(q.Service).domains)
	if q.leaving == nil || domains < 2 {
		return false
	}
	// The requests of one process for the part are random, so that a share of exp(-uses) sees none before.
	uses := assumedUses
	if r := p.reuse[reuseKey{q.Route, q.Model}]; r != nil && r.requests >= reuseRequests {
		uses = -math.Log(1-min(r.share, maxReuse)) * float64(max(p.gateways, 1))
	}
	missedMore := math.Exp(-uses/domains) - math.Exp(-uses)
	saved := q.leaving.readTime(missedMore*float64(q.Prompt[len(q.Prompt)-2].Tokens), p.opts.TokensPerWork)
	return saved.Seconds() > (1-1/domains)*q.leaving.costTime.Seconds()
}

// paysForCache reports whether reading tokens at home costs more than leaving the failure domain.
func (p *Placer) paysForCache(q *WorkerQuery, tokens int) bool {
	return q.leaving != nil && q.leaving.readTime(float64(tokens), p.opts.TokensPerWork) > q.leaving.costTime
}
