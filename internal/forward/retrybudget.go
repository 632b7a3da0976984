package forward

import (
	"math"
	"time"
)

// The retries of a service are bounded over all gateways: in each window, by a ratio of its requests and a
// slack. A gateway knows its own requests and its share in those of all. The parts below add up to the bound for
// any number of gateways, and hold for starts of gateways and for requests that move between them.
const (
	// retriesEarned and retriesSaved are parts of the allowed ratio: what each request earns, and what a
	// gateway may hold of what the requests of the last window earned. The rest covers retries that
	// reach their worker in a later window.
	retriesEarned = 0.8
	retriesSaved  = 0.15
	// slackSaved and slackEarned are parts of the slack: what all gateways may hold together without requests, and
	// what they earn in a window. Twice their sum is the slack, because a fleet whose exchange has split
	// counts itself twice.
	slackSaved  = 0.45
	slackEarned = 0.05
	// slackFirst is the part of the slack that the first requests of a window earn at all gateways together. It leaves
	// room for three starts of all of them within a window.
	slackFirst = 1.0 / 6
	// firstDivisor divides the slack for what the first request of a window earns at least, up to a whole retry: three
	// starts of assumedGateways come to the slack.
	firstDivisor = 3 * assumedGateways
	// requestSlots is the number of parts of the window in which requests are counted.
	requestSlots = 10
	// wholeRetry is one retry but for the rounding of sums.
	wholeRetry = 1 - 1e-9
)

// RetryOptions is the bound on the retries of a service over all gateways.
type RetryOptions struct {
	// Ratio is the number of retries per request, and Slack the number beyond that, within Window.
	Ratio, Slack float64
	Window       time.Duration
}

// RetryBudget holds the retries that this gateway may send to the workers of a service.
type RetryBudget struct {
	opts RetryOptions
	left float64
	// taken is the number of retries that were taken and whose attempts have not been sent. They count as held
	// until then: many that wait for room would reach their workers at the same moment.
	taken int
	at    Elapsed
	// requests counts the requests of the last window by slot, slot is the number of the present one.
	requests [requestSlots]int
	slot     int64
}

// NewRetryBudget returns the budget of a process that starts now. It is empty: what the process before it
// has used is not known.
func NewRetryBudget(now Elapsed, opts RetryOptions) *RetryBudget {
	return &RetryBudget{opts: opts, at: now, slot: slotAt(now, opts.Window)}
}

// SetOptions replaces the bound and keeps what the budget holds, up to what it may hold.
func (b *RetryBudget) SetOptions(opts RetryOptions) {
	if opts.Window != b.opts.Window {
		clear(b.requests[:])
		b.slot = slotAt(b.at, opts.Window)
	}
	b.opts = opts
}

// RecordRequest adds what a request earns. The first one of a window earns a part of the slack too. share is this
// gateway's share in the requests of all.
func (b *RetryBudget) RecordRequest(now Elapsed, share float64) {
	b.advance(now, share)
	earned := retriesEarned * b.opts.Ratio
	if b.recentRequests() == 0 {
		earned += math.Max(math.Min(1-earned, b.opts.Slack/firstDivisor), slackFirst*share*b.opts.Slack)
	}
	b.requests[b.slot%requestSlots]++
	b.earn(earned, share)
}

// Take takes a retry and reports whether one was left. Sent or Return must follow.
func (b *RetryBudget) Take(now Elapsed, share float64) bool {
	if !b.Available(now, share) {
		return false
	}
	b.left--
	b.taken++
	return true
}

// Sent records that the attempt of a retry that was taken was sent.
func (b *RetryBudget) Sent() { b.taken-- }

// Return gives back a retry that was taken and whose attempt is not sent.
func (b *RetryBudget) Return() {
	b.taken--
	b.left++
}

// Available reports whether a retry is left, without taking it.
func (b *RetryBudget) Available(now Elapsed, share float64) bool {
	return b.Left(now, share) >= wholeRetry
}

// Left returns how many retries the budget holds.
func (b *RetryBudget) Left(now Elapsed, share float64) float64 {
	b.advance(now, share)
	return b.left
}

// advance adds what the gateway earns without requests and forgets the requests before the window.
func (b *RetryBudget) advance(now Elapsed, share float64) {
	elapsed := max(now-b.at, 0)
	b.at = max(b.at, now)
	current := slotAt(b.at, b.opts.Window)
	for b.slot = max(b.slot, current-requestSlots); b.slot < current; {
		b.slot++
		b.requests[b.slot%requestSlots] = 0
	}
	b.earn(slackEarned*share*b.opts.Slack*elapsed.Seconds()/b.opts.Window.Seconds(), share)
}

func slotAt(now Elapsed, window time.Duration) int64 { return int64(now / (window / requestSlots)) }

// earn adds retries, up to what the gateway may hold.
func (b *RetryBudget) earn(n, share float64) {
	b.left = math.Min(b.left+n, math.Max(b.most(share)-float64(b.taken), 0))
}

// most returns how many retries the gateway may hold. It is at least one, which a request of a service
// with few requests needs, and which only a request can use.
func (b *RetryBudget) most(share float64) float64 {
	return math.Max(retriesSaved*b.opts.Ratio*float64(b.recentRequests())+slackSaved*share*b.opts.Slack, 1)
}

// recentRequests returns the number of requests in the last window.
func (b *RetryBudget) recentRequests() int {
	sum := 0
	for _, n := range b.requests {
		sum += n
	}
	return sum
}

// retryGatewaysTime is how long gateways that are not heard of any more keep their part of the slack: longer than
// most cuts last. Requests earn retries all the while, so that a fleet that has shrunk can wait for it.
const retryGatewaysTime = 5 * time.Minute

// RetryShare returns this gateway's share of the slack of a service's retries.
func (p *Placer) RetryShare(now Elapsed, service string) float64 {
	return p.settledShare(now, service, p.mostForRetries)
}
