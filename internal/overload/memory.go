package overload

const (
	// baseBytes is the memory of an instance without requests: code, runtime, the lists of workers, what
	// is known of sessions and prompts. The busiest of 300 gateways used 52 MB with its requests.
	baseBytes = 48 << 20
	// baseShare bounds baseBytes on small instances, so that requests get some memory at any size.
	baseShare = 0.5
	// requestShare is the part of the memory beyond the base that connections, requests and their heads may use; the rest
	// is for what they share: the buffers of long answers, the log, health checks, and messages of other instances.
	requestShare = 0.7
	// requestBytes is the memory of a request in progress without its body and its two connections: what two heads of
	// 16 KiB take beyond a small one, an event of 8 KiB and stacks of goroutines, 40 KiB together, and what the kernel
	// holds of the answer. Four hundred answers took 75 kB each with their connections, and with caller and worker in the
	// same process (TestAnswersWithoutEndStayWithinMemory).
	requestBytes = 40<<10 + 2*receiveBufferBytes
	// connectionBytes is the memory of a connection without a request: its buffers and its goroutine.
	connectionBytes = 16 << 10
	// callerBytes is the memory of a connection of a caller with a small head and what the kernel holds.
	callerBytes = connectionBytes + smallHeadBytes + 2*callerReceiveBufferBytes
	// linkBytes is the memory of a link to another instance with a short message and what the kernel holds.
	linkBytes = connectionBytes + ShortPeerMessageBytes + 2*peerReceiveBufferBytes
	// refusalShare is the part of the memory for requests that is left to connections whose requests are refused, so
	// that callers get an answer where there is no memory for a request.
	refusalShare = 1.0 / 32
	// smallBodyBytes is the longest body that counts as small, and longBodyShare the part of the memory for requests that
	// all longer ones may use. Callers that hold back the end of long bodies leave the rest to other requests.
	smallBodyBytes = 64 << 10
	longBodyShare  = 0.75
	// softLimitShare is the part of the memory from which the garbage collector works harder; see
	// SoftMemoryLimit. The rest holds what the runtime does not count.
	softLimitShare = 0.75
	// usedShare is the part of the memory that the process may use before it takes no more requests.
	usedShare = 0.85
	// sendBufferBytes bounds what the kernel holds for a caller that reads slowly. Without a bound, a
	// send buffer grows to some megabytes.
	sendBufferBytes = 64 << 10
	// callerReceiveBufferBytes bounds what the kernel holds of a caller that nobody reads: during its request, behind a
	// refusal, between two chunks. The kernel takes twice as much. Without a bound, 1,300 callers held 231 MB.
	callerReceiveBufferBytes = 8 << 10
	// receiveBufferBytes bounds what the kernel holds of an answer that the caller reads slowly. The kernel takes twice as
	// much. Without a bound, a receive buffer grows to some megabytes; 1,000 answers without end held 112 MB after 10 s.
	receiveBufferBytes = 12 << 10
)

// Reserved returns the memory of an instance that is not left to what its requests share: the base, and the bound of
// connections, requests and their heads.
func (l Limits) Reserved() int64 { return base(l.MemoryBytes) + requestBudget(l.MemoryBytes) }

// SoftMemoryLimit returns the limit for the garbage collector, 0 for none.
func (l Limits) SoftMemoryLimit() int64 { return int64(softLimitShare * float64(l.MemoryBytes)) }

// SendBufferBytes returns the size of the send buffer of a caller's connection, 0 for that of the system.
func (l Limits) SendBufferBytes() int {
	if l.MemoryBytes <= 0 {
		return 0
	}
	return sendBufferBytes
}

// CallerReceiveBufferBytes returns the size of the receive buffer of a caller's connection, 0 for that of the system.
func (l Limits) CallerReceiveBufferBytes() int {
	if l.MemoryBytes <= 0 {
		return 0
	}
	return callerReceiveBufferBytes
}

// ReceiveBufferBytes returns the size of the receive buffer of a connection to a worker, 0 for that of the system.
func (l Limits) ReceiveBufferBytes() int {
	if l.MemoryBytes <= 0 {
		return 0
	}
	return receiveBufferBytes
}

// memory keeps the memory that requests use within a budget.
type memory struct {
	total, budget int64 // 0 if unknown
	requests      int64 // memory of admitted requests
	longBodies    int64 // part of it for bodies beyond smallBodyBytes
	callers       int64 // memory of connections of callers
	peers         int64 // memory of connections to workers and of links to other instances
	used          int64 // as measured
	heads         heads
}

func newMemory(total int64) memory {
	return memory{total: total, budget: requestBudget(total), heads: newHeads(total)}
}

// requestBudget returns the memory that connections, requests and their heads may use together.
func requestBudget(total int64) int64 {
	return int64(requestShare * float64(total-base(total)))
}

// base returns the memory of an instance without requests.
func base(total int64) int64 { return min(baseBytes, int64(baseShare*float64(total))) }

func (m *memory) observe(s Sample) {
	m.used = s.MemoryBytes
	m.callers = int64(s.Callers) * callerBytes
	m.peers = int64(s.Workers)*connectionBytes + int64(s.Links)*linkBytes
}

// inUse returns the part of the budget that is in use.
func (m *memory) inUse() int64 { return m.requests + m.callers + m.peers + m.heads.large }

// acceptsCaller reports whether there is memory for a connection beside so many open ones. The least number of
// connections is accepted on any instance.
func (m *memory) acceptsCaller(open int) bool {
	budget := max(m.budget, minConnections*callerBytes)
	return m.budget == 0 || m.inUse()-m.callers+int64(open+1)*callerBytes <= budget
}

// fits reports whether there is memory for a request with a body of n bytes.
func (m *memory) fits(n int64) bool { return m.hasRoom(cost(n)) && m.hasRoomForBody(0, n) }

// hasRoom reports whether requests may use n more bytes.
func (m *memory) hasRoom(n int64) bool {
	if m.budget == 0 {
		return true
	}
	refusals := int64(refusalShare * float64(m.budget))
	return m.inUse()+n+refusals <= m.budget && m.used <= int64(usedShare*float64(m.total))
}

// hasRoomForBody reports whether a body may take n bytes instead of those that are reserved for it.
func (m *memory) hasRoomForBody(reserved, n int64) bool {
	if m.budget == 0 || n <= smallBodyBytes {
		return true
	}
	return m.longBodies-longPart(reserved)+n <= int64(longBodyShare*float64(m.budget))
}

func cost(bodyBytes int64) int64 { return requestBytes + bodyBytes }

func longPart(bodyBytes int64) int64 {
	if bodyBytes <= smallBodyBytes {
		return 0
	}
	return bodyBytes
}

func (m *memory) take(n int64) {
	m.requests += cost(n)
	m.longBodies += longPart(n)
}

func (m *memory) release(n int64) {
	m.requests -= cost(n)
	m.longBodies -= longPart(n)
}

// share returns the part of the budget that is in use.
func (m *memory) share() float64 {
	if m.budget == 0 {
		return 0
	}
	return float64(m.inUse()) / float64(m.budget)
}
