package forward

import (
	"math"
	"slices"
)

type partKey struct {
	id    uint64
	model string
}

type partHolder struct {
	worker *placed
	at     Elapsed
}

// cachedAt returns the worker that has cached most of a prompt, or at which the prompt's
// shared parts are gathered, if its score is at most limit; and how much it has cached.
func (p *Placer) cachedAt(now Elapsed, q *Query, limit float64) (*placed, int) {
	holder, cached := p.holder(now, q, limit)
	if holder != nil && cached >= sharedTokens(q.Prompt) {
		return holder, cached
	}
	if home := p.home(now, q, limit); home != nil {
		return home, 0
	}
	return holder, cached
}

// cachedPart is the believed length of the start of a prompt at one worker.
type cachedPart struct {
	worker *placed
	tokens int
}

// holder finds the worker with the longest cached start of the prompt whose score is at
// most limit.
func (p *Placer) holder(now Elapsed, q *Query, limit float64) (*placed, int) {
	var best *placed
	bestTokens, bestScore := 0, math.Inf(1)
	for _, c := range p.starts(now, q) {
		s := c.worker
		if !s.eligible(q) || s.Service != q.Service || s.share < 1 {
			continue
		}
		score := p.score(now, s, q.Heavy)
		if score <= limit && (c.tokens > bestTokens || c.tokens == bestTokens && score < bestScore) {
			best, bestTokens, bestScore = s, c.tokens, score
		}
	}
	return best, bestTokens
}

// starts lists the workers that are believed to have cached the start of a prompt. A part
// helps only where all parts before it are cached too.
func (p *Placer) starts(now Elapsed, q *Query) []cachedPart {
	var found []cachedPart
	for depth, part := range q.Prompt {
		holders, ok := p.cache.Get(partKey{part.ID, q.Model})
		if !ok {
			break
		}
		before := len(found)
		extended := false
		for _, h := range holders {
			if h.worker == nil || now-h.at > p.opts.CacheMemory || p.workers[h.worker.ID] != h.worker {
				continue
			}
			if depth == 0 {
				found = append(found, cachedPart{h.worker, part.Tokens})
				continue
			}
			i := slices.IndexFunc(found, func(c cachedPart) bool { return c.worker == h.worker })
			if i >= 0 {
				found[i].tokens += part.Tokens
				extended = true
			}
		}
		if !extended && len(found) == before {
			break
		}
	}
	return found
}

func (p *Placer) remember(now Elapsed, key partKey, s *placed) {
	holders, ok := p.cache.Get(key)
	if !ok {
		holders = &[maxPartHolders]partHolder{}
		p.cache.Add(key, holders)
	}
	oldest := 0
	for i := range holders {
		if holders[i].worker == s || holders[i].worker == nil {
			oldest = i
			break
		}
		if holders[i].at < holders[oldest].at {
			oldest = i
		}
	}
	holders[oldest] = partHolder{s, now}
}

// homes is the number of workers on which one prompt part is gathered. With one, a part
// that many requests share overloads its worker.
const homes = 2

// home returns the first worker in the rendezvous order of the deepest shared prompt part
// whose score is at most limit. All processes agree on the order without telling each
// other what is cached where.
func (p *Placer) home(now Elapsed, q *Query, limit float64) *placed {
	if len(q.Prompt) < 2 {
		return nil
	}
	key := q.Prompt[len(q.Prompt)-2].ID
	var best [homes]*placed
	var rank [homes]uint64
	for _, s := range p.services[q.Service] {
		if !s.eligible(q) || s.share < 1 || s.divided && s.heavy != q.Heavy {
			continue
		}
		r := mix64(key ^ s.hash)
		for i := range best {
			if best[i] == nil || r > rank[i] {
				copy(best[i+1:], best[i:homes-1])
				copy(rank[i+1:], rank[i:homes-1])
				best[i], rank[i] = s, r
				break
			}
		}
	}
	for _, s := range best {
		if s != nil && p.score(now, s, q.Heavy) <= limit {
			return s
		}
	}
	return nil
}

// sharedTokens is the length of a prompt without its last part, which belongs to one
// request or session.
func sharedTokens(prompt []PromptPart) int {
	n := 0
	for _, part := range prompt[:len(prompt)-1] {
		n += part.Tokens
	}
	return n
}

// mix64 scatters the bits of a number.
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
