package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/news"
	"github.com/borageflow/borageflow/internal/observe"
	"github.com/borageflow/borageflow/internal/peer"
)

const (
	// relayWatchTimeout is the longest watch on the configuration where relays are used. It
	// bounds how long a relay does not notice that it is cut off from the store. Together with
	// the timeout of a call it bounds how long the other gateways get no updates.
	relayWatchTimeout = time.Second
	// relayDelayReserve covers the pause in which a relay gathers changes of workers, a list
	// call to the store in place of the relay, and the transit time of a request.
	relayDelayReserve = 800 * time.Millisecond
	// relayedAgeAllowance is added to the longest duration of a store call to get the greatest
	// age of the data that a relay passes on. It covers the pause in which changes are gathered
	// and the transit time of a response.
	relayedAgeAllowance = 500 * time.Millisecond
)

// relayPeer connects this gateway to the relays, or makes it one. All methods accept a nil
// receiver, which stands for a gateway without relays.
type relayPeer struct {
	relay *news.Relay
	node  *peer.Node
	// isRelay reports whether this process passes updates on to other gateways.
	isRelay bool
	// exchangeRelays chooses the relay to exchange loads with.
	exchangeRelays *news.RelayChoice
}

// usesRelays reports whether the updates of the store come from relays: they are configured, and the
// bounds for draining, for applying a configuration and for evacuating a failure domain leave time for a
// relay that is cut off from the store without notice.
func (s *Settings) usesRelays() bool {
	needed := relayWatchTimeout + s.StoreTimeout + relayDelayReserve
	return len(s.Relays) > 0 && s.MaxDrainDelay >= needed && s.MaxApplyDelay >= needed && (s.MaxEvacuateDelay == 0 || s.MaxEvacuateDelay >= needed)
}

// isRelay reports whether this process is one of the configured relays.
func (s *Settings) isRelay() bool {
	return s.PeerAddress != "" && slices.Contains(s.Relays, s.PeerAddress)
}

// minGateways returns the number of gateways that the settings name: the relays and this one.
func (s *Settings) minGateways() int {
	if s.isRelay() {
		return len(s.Relays)
	}
	return len(s.Relays) + 1
}

// configWatchTimeout returns the longest wait of a watch on the configuration. A longer one would
// make the knowledge of the keys older when the store goes away, so that callers are refused
// earlier.
func (s *Settings) configWatchTimeout() time.Duration {
	if s.usesRelays() {
		return min(s.WatchTimeout, relayWatchTimeout)
	}
	return s.WatchTimeout
}

// watchApplyDelay returns the delay within which this gateway must learn of a configuration from the
// store, 0 for no bound of its own. A relay leaves the others time for a watch of theirs; what these get
// is as old as the relay's, whatever the wait.
func (s *Settings) watchApplyDelay() time.Duration {
	switch {
	case !s.usesRelays():
		return s.MaxApplyDelay
	case s.isRelay():
		return s.MaxApplyDelay - relayWatchTimeout
	}
	return 0
}

// newRelayPeer returns the relay connection of this gateway and the store to watch: the store
// itself on a relay and where the bounds do not allow relays, and a store that asks the relays
// first elsewhere. The relay connection is nil where no relays are configured.
func newRelayPeer(s Settings, store forward.Store, started time.Time, m *gatewayMetrics, log *zap.Logger) (*relayPeer, forward.Store) {
	if len(s.Relays) == 0 {
		return nil, store
	}
	relayLog := observe.ComponentLogger(log, "relay")
	relay := news.NewRelay(relayWatchTimeout+s.StoreTimeout+relayedAgeAllowance, sinceBoot, relayLog)
	hello := api.Hello{Member: api.Member{Instance: s.Instance, Incarnation: int(started.UnixNano()), FailureDomain: s.FailureDomain, Address: s.PeerAddress, State: api.MemberStateReady}}
	onPanic := func(method string, value any) {
		relayLog.Error("message of a peer cannot be handled and is ignored", zap.String("method", method), zap.Any("panic", value), zap.Stack("stack"))
	}
	onCall := func(remote api.Member, method string, bytes int) {
		cause := "exchange"
		if method == peer.MethodNews {
			cause = "relay_updates"
		}
		m.countPeerBytes(cause, remote.FailureDomain != s.FailureDomain, bytes)
	}
	p := &relayPeer{relay: relay, node: peer.NewNode(peer.Options{Handler: relay, Local: func() api.Hello { return hello }, OnPanic: onPanic, OnCall: onCall, Bounds: s.Limits.Peers()})}
	p.isRelay = s.isRelay()
	p.exchangeRelays = news.NewRelayChoice(s.Instance, s.FailureDomain, s.Relays, sinceBoot)
	if p.isRelay || !s.usesRelays() {
		return p, store
	}
	return p, news.NewRelayedStore(store, p.node, s.Instance, s.FailureDomain, s.Relays, s.StoreTimeout, sinceBoot, relayLog)
}

// listen accepts requests of other gateways if this process is a relay.
func (p *relayPeer) listen(s Settings, log *zap.Logger) error {
	if p == nil || !p.isRelay {
		return nil
	}
	if _, err := p.node.Listen(s.PeerAddress); err != nil {
		return err
	}
	log.Info("relay passes updates of the store on to other gateways", zap.String("address", s.PeerAddress))
	return nil
}

// links returns the number of links that other gateways have opened.
func (p *relayPeer) links() int {
	if p == nil {
		return 0
	}
	return p.node.AcceptedLinks()
}

// recordUpdate makes an update of the store available to other gateways. confirmed is a time at
// which the update was the newest state.
func (p *relayPeer) recordUpdate(topic forward.Topic, u *forward.Update, confirmed time.Duration) {
	if p != nil && p.isRelay {
		p.relay.Publish(topic, u, confirmed)
	}
}

// recordStoreLoss records that the store did not answer for a topic.
func (p *relayPeer) recordStoreLoss(topic forward.Topic) {
	if p != nil && p.isRelay {
		p.relay.MarkUnavailable(topic)
	}
}

// stopServing ends the updates to other gateways, so that they switch to another source before
// this process exits.
func (p *relayPeer) stopServing() {
	if p != nil {
		p.relay.Close()
	}
}

func (p *relayPeer) close() {
	if p != nil {
		p.node.Close()
	}
}
