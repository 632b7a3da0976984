package usage

import (
	"encoding/binary"
	"math"

	"github.com/borageflow/borageflow/api"
)

// dictionary numbers the strings that repeat between records, so that a record
// takes some 75 bytes instead of 350 bytes of JSON.
type dictionary struct {
	numbers map[string]uint64
	words   []string
	bytes   int
}

// wordOverhead is the memory of a dictionary entry besides its text, in bytes.
const wordOverhead = 64

func newDictionary() *dictionary { return &dictionary{numbers: map[string]uint64{}} }

func (d *dictionary) number(word string) uint64 {
	if n, ok := d.numbers[word]; ok {
		return n
	}
	n := uint64(len(d.words))
	d.numbers[word] = n
	d.words = append(d.words, word)
	d.bytes += len(word) + wordOverhead
	return n
}

var stateCodes = []api.RunState{api.RunStateNotRun, api.RunStateRan, api.RunStateUnknown}

func stateCode(s api.RunState) byte {
	for i, known := range stateCodes {
		if s == known {
			return byte(i)
		}
	}
	return byte(len(stateCodes) - 1)
}

func (d *dictionary) encode(out []byte, r api.UsageRecord, sidecars []string) []byte {
	out = binary.AppendUvarint(out, uint64(len(r.Request)))
	out = append(out, r.Request...)
	for _, word := range []string{r.Customer, r.Class, r.Version, r.Service, r.Operation, r.BackendServer, r.Entry} {
		out = binary.AppendUvarint(out, d.number(word))
	}
	for _, n := range []int{r.Stage, r.InputTokens, r.OutputTokens, r.EndedAt} {
		out = binary.AppendVarint(out, int64(n))
	}
	out = binary.LittleEndian.AppendUint64(out, math.Float64bits(r.Cost))
	out = append(out, stateCode(r.RunState))
	out = binary.AppendUvarint(out, uint64(len(sidecars)))
	for _, s := range sidecars {
		out = binary.AppendUvarint(out, d.number(s))
	}
	return out
}

// reader decodes what encode wrote.
type reader struct {
	words []string
	data  []byte
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	r.data = r.data[n:]
	return v
}

func (r *reader) varint() int {
	v, n := binary.Varint(r.data)
	r.data = r.data[n:]
	return int(v)
}

func (r *reader) bytes(n int) []byte {
	out := r.data[:n]
	r.data = r.data[n:]
	return out
}

func (r *reader) word() string { return r.words[r.uvarint()] }

func (r *reader) next() (rec api.UsageRecord, sidecars []string) {
	rec.Request = string(r.bytes(int(r.uvarint())))
	for _, word := range []*string{&rec.Customer, &rec.Class, &rec.Version, &rec.Service, &rec.Operation, &rec.BackendServer, &rec.Entry} {
		*word = r.word()
	}
	for _, n := range []*int{&rec.Stage, &rec.InputTokens, &rec.OutputTokens, &rec.EndedAt} {
		*n = r.varint()
	}
	rec.Cost = math.Float64frombits(binary.LittleEndian.Uint64(r.bytes(8)))
	rec.RunState = stateCodes[r.bytes(1)[0]]
	for range r.uvarint() {
		sidecars = append(sidecars, r.word())
	}
	return rec, sidecars
}
