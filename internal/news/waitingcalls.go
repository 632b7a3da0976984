package news

import "github.com/borageflow/borageflow/internal/peer"

const (
	// maxCallsPerLink is more than a gateway has topics to watch, each with one call that has timed out.
	maxCallsPerLink = 10
	// MaxWaitingCalls is more than the calls of 370 gateways that three relays share.
	MaxWaitingCalls = 1024
)

// waitingCalls counts the calls that wait for updates, by the link that they came on, so that a peer cannot have any
// number of them wait.
type waitingCalls struct {
	total  int
	byLink map[*peer.Link]int
}

func newWaitingCalls() waitingCalls { return waitingCalls{byLink: map[*peer.Link]int{}} }

// begin counts a call and reports whether it may wait.
func (w *waitingCalls) begin(link *peer.Link) bool {
	if w.total >= MaxWaitingCalls || w.byLink[link] >= maxCallsPerLink {
		return false
	}
	w.total++
	w.byLink[link]++
	return true
}

// end is called once for each call that begin has counted.
func (w *waitingCalls) end(link *peer.Link) {
	w.total--
	if w.byLink[link]--; w.byLink[link] == 0 {
		delete(w.byLink, link)
	}
}

func (r *Relay) beginWait(link *peer.Link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting.begin(link)
}

func (r *Relay) endWait(link *peer.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting.end(link)
}
