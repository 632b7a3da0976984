package news

import (
	"encoding/base64"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Loads holds the load at each worker in eighths of a request, by the hash of the worker's ID.
type Loads map[uint32]int

const (
	// loadUnit is the resolution of a load that is sent, in requests.
	loadUnit = 0.125
	// maxLoadUnits bounds the load of one worker that one gateway states, so that a wrong one
	// cannot overflow a sum.
	maxLoadUnits = 1 << 20
)

// workerHashBits is the length of the key of a worker. With 910 workers, the keys are 1,150
// apart, so that a distance takes two bytes. Two workers share a key in two deployments of
// five; each of them then counts the load of both.
const workerHashBits = 20

// WorkerHash returns the key of a worker in Loads.
func WorkerHash(id string) uint32 {
	return uint32(xxhash.Sum64String(id) >> (64 - workerHashBits)) //nolint:gosec // has workerHashBits bits
}

// Add adds the load of a worker in requests.
func (l Loads) Add(id string, load float64) {
	if units := int(math.Round(load / loadUnit)); units > 0 {
		l[WorkerHash(id)] += min(units, maxLoadUnits)
	}
}

// Requests returns the load of a worker in requests.
func (l Loads) Requests(id string) float64 { return float64(l[WorkerHash(id)]) * loadUnit }

// Encode returns the loads above zero in base64: for each worker, in the order of their keys, the
// distance from the key before and the load, both as unsigned varints.
func (l Loads) Encode() string {
	raw := make([]byte, 0, 3*len(l))
	previous := uint32(0)
	for _, hash := range slices.Sorted(maps.Keys(l)) {
		if l[hash] <= 0 {
			continue
		}
		raw = binary.AppendUvarint(raw, uint64(hash-previous))
		raw = binary.AppendUvarint(raw, uint64(l[hash])) //nolint:gosec // above zero
		previous = hash
	}
	return base64.StdEncoding.EncodeToString(raw)
}

// DecodeLoads decodes what Encode returns. It returns an error for anything else.
func DecodeLoads(text string) (Loads, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, eris.Wrap(err, "loads are not in base64")
	}
	out := make(Loads, len(raw)/2)
	hash := uint64(0)
	for len(raw) > 0 {
		distance, n := binary.Uvarint(raw)
		if n <= 0 || distance >= 1<<workerHashBits {
			return nil, eris.New("loads hold a worker that is out of range")
		}
		units, m := binary.Uvarint(raw[n:])
		if m <= 0 || units > maxLoadUnits*maxGateways {
			return nil, eris.New("loads hold a load that is out of range")
		}
		if hash += distance; hash >= 1<<workerHashBits {
			return nil, eris.New("loads hold a worker that is out of range")
		}
		out[uint32(hash)] += int(units) //nolint:gosec // bounded above
		raw = raw[n+m:]
	}
	return out, nil
}

// maxGateways bounds the number of gateways whose loads are added up.
const maxGateways = 1 << 14

const (
	// loadTTL is how long a stated load counts. It covers three lost reports at the interval of
	// a deployment at the target size.
	loadTTL = 2 * time.Second
	// minLoadInterval is the shortest time between two reports of a gateway. The loads of one
	// worker change within some hundred milliseconds, the time in which it reads a prompt.
	minLoadInterval = 200 * time.Millisecond
	// loadIntervalPerGateway bounds the reports that a relay answers to 250 a second.
	loadIntervalPerGateway = 4 * time.Millisecond
	// maxLoadBytesPerMs bounds the loads that a gateway receives to 4 kB a second, of the 5 kB
	// that a process may use for control.
	maxLoadBytesPerMs = 4
)

// WorkerStats is what a gateway states about the workers: the loads that it causes, its recent
// requests that ended without an answer, and its requests a second by service.
type WorkerStats struct {
	Loads, Failures, Demand Loads
}

// NewWorkerStats returns empty stats.
func NewWorkerStats() WorkerStats {
	return WorkerStats{Loads: Loads{}, Failures: Loads{}, Demand: Loads{}}
}

func (s WorkerStats) add(other WorkerStats, sign int) {
	s.Loads.add(other.Loads, sign)
	s.Failures.add(other.Failures, sign)
	s.Demand.add(other.Demand, sign)
}

// LoadTable adds up at a relay what each gateway states of the loads that it causes. Gateways
// that choose workers by their own requests alone choose nearly at random: with 103 of them,
// each hears from one of 128 workers every ten seconds. It is pure: it uses no lock and no
// clock.
type LoadTable struct {
	entries map[string]*loadEntry
	// gateways is the sum of the loads of all entries that are not from relays, relays that of
	// the others.
	gateways, relays WorkerStats
	// ownGateways is the number of entries that are not from relays, and otherGateways the
	// number of gateways that report to the relays of the other entries.
	ownGateways, otherGateways int
	nextSweep                  Elapsed
}

type loadEntry struct {
	stats WorkerStats
	// gateways is the number of gateways that report to the relay, 0 for a gateway.
	gateways int
	at       Elapsed
}

// NewLoadTable returns an empty table.
func NewLoadTable() *LoadTable {
	return &LoadTable{entries: map[string]*loadEntry{}, gateways: NewWorkerStats(), relays: NewWorkerStats()}
}

// Report replaces what a gateway states.
func (t *LoadTable) Report(now Elapsed, instance string, stats WorkerStats) {
	t.remove(instance)
	if len(t.entries) < maxGateways {
		t.entries[instance] = &loadEntry{stats, 0, now}
		t.gateways.add(stats, 1)
		t.ownGateways++
	}
}

// ReportRelay replaces what the gateways state that report to another relay, and their number.
func (t *LoadTable) ReportRelay(now Elapsed, address string, stats WorkerStats, gateways int) {
	t.remove(address)
	if gateways > 0 && len(t.entries) < maxGateways {
		t.entries[address] = &loadEntry{stats, gateways, now}
		t.relays.add(stats, 1)
		t.otherGateways += gateways
	}
}

func (t *LoadTable) remove(instance string) {
	e := t.entries[instance]
	switch {
	case e == nil:
		return
	case e.gateways > 0:
		t.relays.add(e.stats, -1)
		t.otherGateways -= e.gateways
	default:
		t.gateways.add(e.stats, -1)
		t.ownGateways--
	}
	delete(t.entries, instance)
}

// add adds loads with a sign and removes sums of zero.
func (l Loads) add(loads Loads, sign int) {
	for hash, units := range loads {
		if l[hash] += sign * units; l[hash] == 0 {
			delete(l, hash)
		}
	}
}

// expire removes the loads that were stated too long ago.
func (t *LoadTable) expire(now Elapsed) {
	if now < t.nextSweep {
		return
	}
	t.nextSweep = now + minLoadInterval
	for instance, e := range t.entries {
		if now-e.at > loadTTL {
			t.remove(instance)
		}
	}
}

// OthersOf returns the sum of what all gateways state without the instance itself, and the number
// of all gateways.
func (t *LoadTable) OthersOf(now Elapsed, instance string) (WorkerStats, int) {
	t.expire(now)
	out := NewWorkerStats()
	out.add(t.gateways, 1)
	out.add(t.relays, 1)
	if e := t.entries[instance]; e != nil {
		out.add(e.stats, -1)
	}
	return out, t.ownGateways + t.otherGateways
}

// OfGateways returns the sum of what the gateways state that report to this relay and the relay
// itself, and the number of these gateways.
func (t *LoadTable) OfGateways(now Elapsed) (WorkerStats, int) {
	t.expire(now)
	out := NewWorkerStats()
	out.add(t.gateways, 1)
	return out, t.ownGateways
}

// Interval returns the time until a gateway is to report again, given the length of the answer
// to its last report. It keeps a relay and the gateways within their shares of processor time
// and traffic at any number of gateways and workers.
func (t *LoadTable) Interval(answerBytes int) time.Duration {
	return max(minLoadInterval, time.Duration(t.ownGateways)*loadIntervalPerGateway, time.Duration(answerBytes/maxLoadBytesPerMs)*time.Millisecond)
}
