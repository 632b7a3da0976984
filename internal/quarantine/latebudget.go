package quarantine

// lateBudget bounds the whole requests that a gateway states for the first time after a late end. A worker may end
// under many, nearly all of which are seen once, and other gateways read a bounded number of records.
type lateBudget struct {
	perSecond, left float64
	at              Elapsed
}

const (
	// lateRecordsPerSecond is the number of such requests of all gateways: what one reads in a second.
	lateRecordsPerSecond = 768
	// minLateRecordsPerSecond is the least number of one gateway.
	minLateRecordsPerSecond = 8
)

// setGateways divides the bound between the gateways.
func (b *lateBudget) setGateways(n int) {
	b.perSecond = max(lateRecordsPerSecond/float64(max(n, 1)), minLateRecordsPerSecond)
}

// take reports whether one more request may be stated, and counts it.
func (b *lateBudget) take(now Elapsed) bool {
	b.left = min(b.left+b.perSecond*max(now-b.at, 0).Seconds(), b.perSecond)
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
