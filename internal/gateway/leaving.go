package gateway

import "github.com/borageflow/borageflow/internal/forward"

// extraBytesGain is the weight of one attempt in the mean of extraBytes. The mean follows the last twenty.
const extraBytesGain = 0.05

// recordBytes records the bytes of an attempt that is done: for the cost of leaving the failure domain, and
// for the metrics if it has left.
func (r *request) recordBytes(a *attempt) {
	ex := a.exchange
	if ex == nil {
		return
	}
	bytes := ex.sentBytes + ex.receivedBytes
	if a.leftFor != forward.StaysHome {
		r.gateway.metrics.countDomainBytes(string(a.leftFor), bytes)
	}
	r.gateway.dispatcher.recordExtraBytes(r.route.Name, bytes-int64(len(r.inbound.body)))
}

// recordExtraBytes records the bytes of an attempt beyond the body of its request.
func (d *dispatcher) recordExtraBytes(route string, bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	mean, ok := d.extraBytes[route]
	if !ok {
		mean = float64(bytes)
	}
	d.extraBytes[route] = mean + extraBytesGain*(float64(bytes)-mean)
}
