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
	greeterRing = 4096
	// greetEvery spaces the first links to sidecars that only the instance list
	// names, so that a starting entry does not open hundreds at once.
	greetEvery = 5 * time.Millisecond
	// recheckEvery is how often a sidecar that did not answer is probed again.
	recheckEvery = time.Second
	recheckLimit = 500 * time.Millisecond
	// rechecksPerTick keeps the probes of held-back sidecars near 5 KB/s even when
	// a whole failure domain restarts.
	rechecksPerTick = 8
)

// greeter opens a link to each sidecar that is known by the instance list alone:
// its hello says which versions it serves.
type greeter struct {
	node  *peer.Node
	items *ring.Ring[api.Member]
}

func newGreeter(node *peer.Node) *greeter {
	return &greeter{node: node, items: ring.New[api.Member](greeterRing)}
}

func (g *greeter) offer(m api.Member) {
	if g != nil && m.Incarnation == 0 && m.Role == string(api.RoleSidecar) {
		g.items.Offer(m)
	}
}

func (g *greeter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-g.items.Items():
			go g.greet(ctx, m)
			wait(ctx, nil, greetEvery)
		}
	}
}

func (g *greeter) greet(ctx context.Context, m api.Member) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	_, _ = g.node.Link(ctx, m.Address)
}

// recheck probes the sidecars that are held back because they did not answer or
// reported a blocked main loop, so that they return when they recover.
func (d *entryDaemon) recheck(ctx context.Context) {
	ticker := time.NewTicker(recheckEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, m := range d.heldBack(rechecksPerTick) {
			go d.recheckOne(ctx, m)
		}
	}
}

// heldBack returns some sidecars that get no work though they have not left. The
// exchange brings most changes of state sooner; a lost one is repaired here.
func (d *entryDaemon) heldBack(limit int) []api.Member {
	members := d.members.Load()
	if members == nil {
		return nil
	}
	var out []api.Member
	for _, m := range *members {
		waiting := m.State == api.MemberStateWedged || m.State == api.MemberStateBooting || m.State == api.MemberStateDead
		if waiting && m.Role == string(api.RoleSidecar) && m.Address != "" {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(limit, len(out))]
}

func (d *entryDaemon) recheckOne(ctx context.Context, m api.Member) {
	ctx, cancel := context.WithTimeout(ctx, recheckLimit)
	defer cancel()
	var result api.ProbeResult
	link, err := d.node.Link(ctx, m.Address)
	if err == nil {
		err = link.Call(ctx, peer.MethodProbe, api.ProbeParams{Revision: d.loop.revision()}, &result)
	}
	d.control.refused(err, m.Instance, m.Incarnation)
	if err == nil {
		d.control.observed(result)
	}
}

// observed hands the exchange what a member says of itself in a probe.
func (c *control) observed(r api.ProbeResult) {
	c.put(membership.MemberSeen{Member: r.Member})
	c.put(membership.MemberObserved{
		Instance: r.Member.Instance, Incarnation: r.Member.Incarnation,
		Signals: membership.Signals{Ready: r.Load.Ready, Alive: r.Load.Alive, Leaving: r.Load.Leaving},
	})
}

// silent reports a member that did not answer a probe.
func (c *control) silent(m membership.MemberObserved) { c.put(m) }
