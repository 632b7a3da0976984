package overload

const (
	// reservedDescriptors are those for files, for the store, other instances and health checks.
	reservedDescriptors = 200 + 64
	// connectionBudgetShare is the part of the memory for requests that connections of callers without one may use.
	connectionBudgetShare = 2.0 / 3
	// closeShare is the part of the connections from which answers ask their callers to close theirs.
	closeShare = 0.9
	// minConnections is accepted whatever the limits say, so that a wrong limit does not stop an
	// instance.
	minConnections = 64
)

// Connections bounds the connections of an instance; a field that is 0 bounds nothing.
type Connections struct {
	// Callers is the largest number of connections of callers. A further one is closed before its
	// request is read: the caller can try another instance at once.
	Callers int
	// CloseFrom is the number of connections of callers from which answers end theirs, so that the
	// callers' next ones reach other instances.
	CloseFrom int
	// Workers is the number of connections to workers from which none is kept idle.
	Workers int
}

// Connections returns the bounds that follow from descriptors and memory. Each request needs one
// connection on either side.
func (l Limits) Connections() Connections {
	var out Connections
	if l.Descriptors > 0 {
		half := max((l.Descriptors-reservedDescriptors)/2, minConnections)
		out.Callers, out.Workers = half, half
	}
	if l.MemoryBytes > 0 {
		fit := max(int(connectionBudgetShare*float64(requestBudget(l.MemoryBytes)))/callerBytes, minConnections)
		if out.Callers == 0 || fit < out.Callers {
			out.Callers = fit
		}
	}
	out.CloseFrom = int(closeShare * float64(out.Callers))
	return out
}
