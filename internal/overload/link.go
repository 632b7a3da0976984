package overload

import "time"

const (
	// linkPayloadShare is the part of a link that carries payload; the rest are the heads of packets.
	linkPayloadShare = 0.95
	// minLinkDelay is the shortest delay of the link for which a request is refused: sent bytes are
	// counted at each sample, so that shorter delays are not seen reliably.
	minLinkDelay = 250 * time.Millisecond
)

// link estimates the bytes that wait at the instance's own link: what was written and cannot have left
// at the rate of the link. Connections buffer what is written, so that writes show the queue only late.
type link struct {
	rate   float64 // bytes per second, 0 if unknown
	queued float64
	at     time.Duration
}

func (l *link) observe(now time.Duration, sent int64) {
	l.drain(now)
	l.queued += float64(sent)
}

func (l *link) drain(now time.Duration) {
	l.queued = max(0, l.queued-l.rate*max(0, now-l.at).Seconds())
	l.at = max(l.at, now)
}

// delay returns how long a further byte waits for the link. The time that a body itself takes is the
// same at any instance of this size.
func (l *link) delay(now time.Duration) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	l.drain(now)
	return time.Duration(l.queued / l.rate * float64(time.Second))
}
