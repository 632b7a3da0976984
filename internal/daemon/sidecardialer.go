package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/membership"
	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/ring"
)

const (
	dialQueueSize = 4096
	// dialInterval is the pause between two dials to sidecars that only the instance
	// list names, so that a starting entry does not open hundreds of links at once.
	dialInterval = 5 * time.Millisecond
	// probeRetryInterval is the time between two rounds of probes to unavailable sidecars.
	probeRetryInterval = time.Second
	probeRetryTimeout  = 500 * time.Millisecond
	// maxProbeRetriesPerTick bounds the probes of one round. It keeps their traffic
	// near 5 KB/s even when a whole failure domain restarts.
	maxProbeRetriesPerTick = 8
)

// sidecarDialer opens a link to each sidecar that is known from the instance list only. The
// sidecar's hello message then states which versions it serves.
type sidecarDialer struct {
	node  *peer.Node
	queue *ring.Queue[api.Member]
}

func newSidecarDialer(node *peer.Node) *sidecarDialer {
	return &sidecarDialer{node: node, queue: ring.New[api.Member](dialQueueSize)}
}

// enqueue queues a dial if m is a sidecar with an unknown incarnation, which only the
// instance list names. It does nothing on a nil dialer.
func (d *sidecarDialer) enqueue(m api.Member) {
	if d != nil && m.Incarnation == 0 && m.Role == string(api.RoleSidecar) {
		d.queue.TryPut(m)
	}
}

func (d *sidecarDialer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.queue.Items():
			go d.dial(ctx, m)
			waitOrTimeout(ctx, nil, dialInterval)
		}
	}
}

func (d *sidecarDialer) dial(ctx context.Context, m api.Member) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	_, _ = d.node.Link(ctx, m.Address)
}

// retryProbes probes sidecars that get no work because they did not answer or reported a
// blocked main loop, so that they get work again when they recover.
func (d *entryDaemon) retryProbes(ctx context.Context) {
	ticker := time.NewTicker(probeRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, m := range d.unavailableSidecars(maxProbeRetriesPerTick) {
			go d.retryProbe(ctx, m)
		}
	}
}

// unavailableSidecars returns up to limit random sidecars that get no work although they have
// not left. The exchange delivers most changes of state sooner; these probes make up for
// lost ones.
func (d *entryDaemon) unavailableSidecars(limit int) []api.Member {
	members := d.members.Load()
	if members == nil {
		return nil
	}
	var out []api.Member
	for _, m := range *members {
		unavailable := m.State == api.MemberStateWedged || m.State == api.MemberStateBooting || m.State == api.MemberStateDead
		if unavailable && m.Role == string(api.RoleSidecar) && m.Address != "" {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(limit, len(out))]
}

func (d *entryDaemon) retryProbe(ctx context.Context, m api.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeRetryTimeout)
	defer cancel()
	var result api.ProbeResult
	link, err := d.node.Link(ctx, m.Address)
	if err == nil {
		err = link.Call(ctx, peer.MethodProbe, api.ProbeParams{Revision: d.loop.revision()}, &result)
	}
	d.exchange.reportIfRefused(err, m.Instance, m.Incarnation)
	if err == nil {
		d.exchange.recordProbe(result)
	}
}

// recordProbe passes the member record and the load signals of a probe answer to the
// exchange.
func (l *exchangeLoop) recordProbe(r api.ProbeResult) {
	l.submit(membership.MemberRecordReceived{Member: r.Member})
	l.submit(membership.MemberObserved{
		Instance: r.Member.Instance, Incarnation: r.Member.Incarnation,
		Signals: membership.Signals{Ready: r.Load.Ready, Alive: r.Load.Alive, Leaving: r.Load.Leaving},
	})
}

// recordProbeTimeout reports a member that did not answer a probe in time. Its signals are
// all false.
func (l *exchangeLoop) recordProbeTimeout(m membership.MemberObserved) { l.submit(m) }
