package forward

import (
	"math"
	"slices"
)

// partKey identifies a prompt part as cached for one model.
type partKey struct {
	id    uint64
	model string
}

// partHolder is a worker that is expected to have cached a prompt part, and the time of the
// last request that used the part there.
type partHolder struct {
	worker *workerState
	usedAt Elapsed
}

// pickByAffinity returns the worker to prefer for its prompt cache and the number of prompt
// tokens it is expected to have cached: the worker with the longest cached prefix if that
// covers all shared parts, otherwise a rendezvous worker of the prompt, otherwise the
// worker with the longest prefix. It considers only workers whose score is at most limit
// and returns nil if there is none. least is the least loaded worker.
func (p *Placer) pickByAffinity(now Elapsed, q *WorkerQuery, least *workerState, limit float64) (*workerState, int) {
	w, cached := p.longestCached(now, q, limit)
	if w != nil && cached >= sharedTokens(q.Prompt) {
		return w, cached
	}
	if preferred := p.rendezvousOfDomains(now, q, least, limit); preferred != nil {
		return preferred, 0
	}
	return w, cached
}

// cachedPrefix is the length of the prefix of a prompt that a worker is expected to have
// cached, in tokens.
type cachedPrefix struct {
	worker *workerState
	tokens int
}

// longestCached returns the worker with the longest cached prefix of the prompt among those
// whose score is at most limit, and the length of that prefix in tokens.
func (p *Placer) longestCached(now Elapsed, q *WorkerQuery, limit float64) (*workerState, int) {
	var best *workerState
	bestTokens, bestScore := 0, math.Inf(1)
	for _, c := range p.cachedPrefixes(now, q) {
		s := c.worker
		if !s.eligible(now, q) || s.Service != q.Service || s.share < 1 {
			continue
		}
		score := p.affinityScore(now, s, q, p.paysForCache(q, c.tokens))
		if score <= limit && (c.tokens > bestTokens || c.tokens == bestTokens && score < bestScore) {
			best, bestTokens, bestScore = s, c.tokens, score
		}
	}
	return best, bestTokens
}

// cachedPrefixes lists the workers that are expected to have cached a prefix of the prompt.
// A cached part is of use only if all parts before it are cached on the same worker.
func (p *Placer) cachedPrefixes(now Elapsed, q *WorkerQuery) []cachedPrefix {
	var found []cachedPrefix
	for depth, part := range q.Prompt {
		holders, ok := p.holdersOf(q, part)
		if !ok {
			break
		}
		before := len(found)
		extended := false
		for _, h := range holders {
			if h.worker == nil || now-h.usedAt > p.opts.CacheTTL || p.workers[h.worker.ID] != h.worker {
				continue
			}
			if depth == 0 {
				found = append(found, cachedPrefix{h.worker, part.Tokens})
				continue
			}
			i := slices.IndexFunc(found, func(c cachedPrefix) bool { return c.worker == h.worker })
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

// holdersOf returns the workers that are expected to have cached a part.
func (p *Placer) holdersOf(q *WorkerQuery, part PromptPart) (*[maxHoldersPerPart]partHolder, bool) {
	key := partKey{part.ID, q.Model}
	if q.isQuestion {
		return p.cache.Peek(key)
	}
	return p.cache.Get(key)
}

// recordCached records that worker s caches a prompt part. If the list of holders is full,
// the least recently used one is replaced.
func (p *Placer) recordCached(now Elapsed, key partKey, s *workerState) {
	holders, ok := p.cache.Get(key)
	if !ok {
		holders = &[maxHoldersPerPart]partHolder{}
		p.cache.Add(key, holders)
	}
	slot := 0
	for i := range holders {
		if holders[i].worker == s || holders[i].worker == nil {
			slot = i
			break
		}
		if holders[i].usedAt < holders[slot].usedAt {
			slot = i
		}
	}
	holders[slot] = partHolder{s, now}
}

// rendezvousReplicas is the number of workers that requests with the same prompt part are
// sent to. With a single one, a part that many requests share overloads its worker.
const rendezvousReplicas = 2

// rendezvousOfDomains returns the rendezvous worker of all failure domains for a prompt. Where leaving the
// failure domain is weighed and the prompt is not worth it, it returns that of the own failure domain, or
// else of the one with the least loaded worker.
func (p *Placer) rendezvousOfDomains(now Elapsed, q *WorkerQuery, least *workerState, limit float64) *workerState {
	if len(q.Prompt) < 2 || q.leaving == nil || p.gathers(q) {
		return p.rendezvousWorker(now, q, limit, "")
	}
	if s := p.rendezvousWorker(now, q, limit, p.opts.FailureDomain); s != nil || least.FailureDomain == p.opts.FailureDomain {
		return s
	}
	return p.rendezvousWorker(now, q, limit, least.FailureDomain)
}

// rendezvousWorker returns the first worker, in rendezvous hash order for the last shared
// part of the prompt, whose score is at most limit, or nil. All processes compute the same
// order, so that they need not exchange the contents of the caches. It considers only the
// workers of a failure domain unless domain is empty.
func (p *Placer) rendezvousWorker(now Elapsed, q *WorkerQuery, limit float64, domain string) *workerState {
	if len(q.Prompt) < 2 {
		return nil
	}
	key := q.Prompt[len(q.Prompt)-2].ID
	var best [rendezvousReplicas]*workerState
	var rank [rendezvousReplicas]uint64
	for _, s := range p.services[q.Service] {
		if !s.eligible(now, q) || s.share < 1 || s.pooled && s.heavy != q.Heavy || domain != "" && s.FailureDomain != domain {
			continue
		}
		r := mix64(key ^ s.hash)
		for i := range best {
			if best[i] == nil || r > rank[i] {
				copy(best[i+1:], best[i:rendezvousReplicas-1])
				copy(rank[i+1:], rank[i:rendezvousReplicas-1])
				best[i], rank[i] = s, r
				break
			}
		}
	}
	for _, s := range best {
		if s != nil && p.affinityScore(now, s, q, domain == "") <= limit {
			return s
		}
	}
	return nil
}

// sharedTokens returns the length in tokens of a prompt without its last part, which is
// specific to one request or session.
func sharedTokens(prompt []PromptPart) int {
	n := 0
	for _, part := range prompt[:len(prompt)-1] {
		n += part.Tokens
	}
	return n
}

// mix64 mixes the bits of a hash (the finalizer of MurmurHash3).
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
