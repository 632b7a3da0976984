package overload

const (
	// smallHeadBytes is the memory of a head that each connection may have at any time. Most heads take a half of it.
	smallHeadBytes = 8 << 10
	// largeHeadShare is the part of the memory beyond the base that all larger heads share. With smallHeadBytes for
	// each connection they stay below a sixth of it.
	largeHeadShare = 1.0 / 15
	// fieldBytes is the memory of a header field beyond its text: its entry in the map and its slice. A head of 64 KiB
	// in fields of five bytes takes 54 bytes a field.
	fieldBytes = 64
	// headCopies counts what a request that is forwarded keeps of a head: the fields of the caller and those for a
	// worker. Within smallHeadBytes, the memory of the connection and of the request covers it.
	headCopies = 2
)

// HeadBytes returns the memory of a head with so many bytes and fields once it is parsed.
func HeadBytes(bytes, fields int) int64 {
	parsed := int64(2*bytes + fieldBytes*fields) // the text as received and as parsed
	if parsed > smallHeadBytes {
		return headCopies * parsed
	}
	return parsed
}

// heads keeps the memory of heads, from their first byte to the end of their requests, within a budget.
type heads struct {
	total       int64
	large       int64
	largeBudget int64 // 0 if unknown
}

func newHeads(memoryBytes int64) heads {
	return heads{largeBudget: int64(largeHeadShare * float64(memoryBytes-base(memoryBytes)))}
}

// ResizeHead replaces the memory reserved for one head, 0 for none. It reports whether there is room; a small head
// always has it, as connections are bounded.
func (g *Guard) ResizeHead(from, to int64) bool {
	h := &g.memory.heads
	more := to - from
	if to > smallHeadBytes && more > 0 && h.largeBudget > 0 {
		if h.large+to-largePart(from) > h.largeBudget || !g.memory.hasRoom(more) {
			return false
		}
	}
	h.total += more
	h.large += largePart(to) - largePart(from)
	return true
}

func largePart(n int64) int64 {
	if n <= smallHeadBytes {
		return 0
	}
	return n
}

// HeadBytes returns the memory that is reserved for heads.
func (g *Guard) HeadBytes() int64 { return g.memory.heads.total }
