package overload

const (
	// maxPeerLinks is more than the instances of the largest fleet, 370.
	maxPeerLinks = 512
	// peerMessageShare is the part of the memory that messages of other instances may use while they arrive, and
	// minPeerMessageBytes the least of it, so that the longest message is taken on any instance.
	peerMessageShare    = 1.0 / 16
	minPeerMessageBytes = 8 << 20
	// peerReceiveBufferBytes holds the usual exchange of an instance; a longer message arrives in several turns.
	peerReceiveBufferBytes = 16 << 10
	// ShortPeerMessageBytes is the longest message that a link may take without the memory that all links share.
	ShortPeerMessageBytes = 16 << 10
	// peerMessageRate is many times the exchanges and watches of an instance in a second. Messages that come faster
	// leave more garbage than can be collected.
	peerMessageRate = 100
)

// Peers bounds what other instances can make an instance hold. A field that is 0 bounds nothing.
type Peers struct {
	// Links is the largest number of links that are accepted.
	Links int
	// MessageBytes bounds the messages that arrive at the same time.
	MessageBytes int64
	// ReceiveBuffer is the size of the kernel's receive buffer of a link. The kernel takes twice as much.
	ReceiveBuffer int
	// MessageRate is the number of messages a second that are read from a link. Further ones wait.
	MessageRate float64
}

// Peers returns the bounds that follow from the memory.
func (l Limits) Peers() Peers {
	if l.MemoryBytes <= 0 {
		return Peers{}
	}
	return Peers{
		Links: maxPeerLinks, MessageBytes: max(int64(peerMessageShare*float64(l.MemoryBytes)), minPeerMessageBytes), ReceiveBuffer: peerReceiveBufferBytes,
		MessageRate: peerMessageRate,
	}
}
