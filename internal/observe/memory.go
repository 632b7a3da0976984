package observe

import rtmetrics "runtime/metrics"

// UsedMemory returns the memory that the runtime has from the system.
func UsedMemory() int64 {
	samples := []rtmetrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	rtmetrics.Read(samples)
	if samples[0].Value.Kind() != rtmetrics.KindUint64 || samples[1].Value.Kind() != rtmetrics.KindUint64 {
		return 0
	}
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
