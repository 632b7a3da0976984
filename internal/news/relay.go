package news

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/quarantine"
)

// Relay passes the updates of the store on to other gateways. It answers each of their
// requests once it has updates or the requested waiting time has passed.
type Relay struct {
	clock func() Elapsed
	log   *zap.Logger

	mu      sync.Mutex
	updates *UpdateLog
	loads   *LoadTable
	// evidence is what gateways observed of the targets of rollouts. fetchedEvidence holds the
	// version of the evidence that was fetched last from each other relay.
	evidence        *EvidenceTable
	fetchedEvidence map[string]int64
	// quarantine is what gateways know of requests under which workers end. quarantineRun identifies
	// this run of the relay, and fetchedQuarantine holds the version that was fetched last from each
	// other relay.
	quarantine        *quarantine.Ledger
	quarantineRun     int64
	fetchedQuarantine map[string]int64
	packer            resultPacker
	// waiting counts the calls that wait for updates.
	waiting waitingCalls
	// changed is closed and replaced when waiting requests must check for updates again.
	changed chan struct{}
}

// NewRelay returns a Relay without data. It refuses requests while its configuration was
// not confirmed for longer than maxAge.
func NewRelay(maxAge time.Duration, clock func() Elapsed, log *zap.Logger) *Relay {
	run := time.Now().UnixNano()
	return &Relay{
		clock: clock, log: log, updates: NewUpdateLog(maxAge), loads: NewLoadTable(), changed: make(chan struct{}),
		waiting: newWaitingCalls(), evidence: NewEvidenceTable(run), fetchedEvidence: map[string]int64{},
		quarantine: quarantine.NewLedger(run), quarantineRun: run, fetchedQuarantine: map[string]int64{},
	}
}

// Publish passes on an update that the store returned and that was current at time confirmed.
func (r *Relay) Publish(topic forward.Topic, u *forward.Update, confirmed Elapsed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.updates.Record(topic, u, confirmed)
	if err != nil {
		r.log.Warn("update cannot be encoded and is not passed on, the topic is unavailable until the next update", zap.Stringer("topic", topic), zap.Error(err))
		r.updates.MarkUnavailable(topic)
	}
	if changed || err != nil {
		r.notifyWaiters()
	}
}

// MarkUnavailable records that the store did not answer a call for a topic. The relay
// refuses requests for the topic until the store answers again.
func (r *Relay) MarkUnavailable(topic forward.Topic) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updates.MarkUnavailable(topic)
	r.notifyWaiters()
}

// Close makes the relay refuse all requests for good.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updates.Close()
	r.notifyWaiters()
}

func (r *Relay) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// LinkOpened implements peer.Handler.
func (r *Relay) LinkOpened(*peer.Link) {}

// LinkClosed implements peer.Handler.
func (r *Relay) LinkClosed(*peer.Link) {}

// Serve implements peer.Handler.
func (r *Relay) Serve(link *peer.Link, call *peer.Call) {
	if call.Method == peer.MethodLoads {
		r.serveLoads(link, call)
		return
	}
	var p api.NewsParams
	if call.Method != peer.MethodNews {
		call.Fail(errkind.New(errkind.InvalidRequest, "method is unknown, gateways answer "+peer.MethodNews+" and "+peer.MethodLoads+" only"))
		return
	}
	if err := call.Decode(&p); err != nil {
		call.Fail(err)
		return
	}
	topic, ok := parseTopic(p.Topic)
	if !ok {
		call.Fail(errkind.New(errkind.InvalidRequest, "topic "+p.Topic+" is unknown"))
		return
	}
	if !r.beginWait(link) {
		call.Fail(errkind.New(errkind.Overloaded, "too many requests wait for updates"))
		return
	}
	go func() {
		defer r.endWait(link)
		r.respond(link, call, topic, p)
	}()
}

// respond waits for updates, for at most the time in the request, and sends them.
func (r *Relay) respond(link *peer.Link, call *peer.Call, topic forward.Topic, p api.NewsParams) {
	timer := time.NewTimer(time.Duration(p.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for waited := false; ; {
		d, found, changed, err := r.since(topic, &p)
		if err != nil {
			call.Fail(err)
			return
		}
		if found || waited {
			call.Respond(api.NewsResult{Revision: int(d.Revision), Full: d.Full, Gap: d.Gap, Updates: d.Updates, AgeMs: int(d.Age.Milliseconds()) + 1})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-link.Done():
			return
		}
	}
}

// since returns the updates of a topic, and a channel that is closed at the next change. It
// returns a NotReady error if the topic is unavailable.
func (r *Relay) since(topic forward.Topic, p *api.NewsParams) (Delta, bool, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if !r.updates.Available(now, topic) {
		return Delta{}, false, nil, errkind.New(errkind.NotReady, "relay has no recent data of topic "+topic.String())
	}
	d, found, err := r.updates.Since(now, topic, int64(p.Revision), p.Whole)
	return d, found, r.changed, err
}

func parseTopic(name string) (forward.Topic, bool) {
	for _, t := range forward.Topics {
		if t.String() == name {
			return t, true
		}
	}
	return 0, false
}

// errGap is returned when a relay does not hold the changes since the requested revision.
var errGap = errors.New("relay does not hold the changes since the requested revision")

// requestDelta requests the updates of a topic from a relay. It returns errGap if the topic
// must be listed from the store.
func requestDelta(ctx context.Context, link *peer.Link, params api.NewsParams) (forward.Update, error) {
	var result api.NewsResult
	if err := link.Call(ctx, peer.MethodNews, params, &result); err != nil {
		return forward.Update{}, err
	}
	if result.Gap {
		return forward.Update{}, errGap
	}
	return Merge(Delta{
		Revision: int64(result.Revision), Full: result.Full, Updates: result.Updates,
		Age: time.Duration(result.AgeMs) * time.Millisecond,
	})
}
