package rollout

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"math"

	"github.com/rotisserie/eris"
)

const (
	// ratioBins is the number of bins of a RatioHistogram, ratioBinsPerOctave of them for a factor
	// of two. The first holds the ratios below 1/8.
	ratioBins          = 36
	ratioBinsPerOctave = 4
	lowestRatioOctave  = -3
)

// RatioHistogram counts answers by their time relative to the predicted one of their kind. Kinds
// and processes with few answers share it: their ratios are distributed alike, their times are not.
type RatioHistogram [ratioBins]int

func ratioBin(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	bin := math.Floor((math.Log2(ratio) - lowestRatioOctave) * ratioBinsPerOctave)
	return int(math.Min(math.Max(bin, 0), ratioBins-1))
}

func (h *RatioHistogram) count(ratio float64) { h[ratioBin(ratio)]++ }

func (h *RatioHistogram) add(other *RatioHistogram, sign int) {
	if other == nil {
		return
	}
	for i, n := range other {
		h[i] += sign * n
	}
}

// raise sets each count to that of other if it is lower here. It returns by how much the counts
// rose, and whether one did.
func (h *RatioHistogram) raise(other *RatioHistogram) (*RatioHistogram, bool) {
	rise, changed := &RatioHistogram{}, false
	if other == nil {
		return rise, false
	}
	for i, n := range other {
		if n > h[i] {
			rise[i], h[i], changed = n-h[i], n, true
		}
	}
	return rise, changed
}

// tail returns the numbers of answers in all histograms, and of those in the bin of a ratio and
// above.
func tail(ratio float64, histograms ...*RatioHistogram) (slower, all float64) {
	bin := ratioBin(ratio)
	for _, h := range histograms {
		for i, n := range h {
			all += float64(n)
			if i >= bin {
				slower += float64(n)
			}
		}
	}
	return slower, all
}

// Encode returns the counts in base64, as unsigned varints.
func (h *RatioHistogram) Encode() string {
	raw := make([]byte, 0, 2*ratioBins)
	for _, n := range h {
		raw = binary.AppendUvarint(raw, uint64(max(n, 0))) //nolint:gosec // not negative
	}
	return base64.StdEncoding.EncodeToString(bytes.TrimRight(raw, "\x00"))
}

// DecodeRatioHistogram decodes what Encode returns. It returns an error for anything else.
func DecodeRatioHistogram(text string) (*RatioHistogram, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, eris.Wrap(err, "histogram is not in base64")
	}
	h := &RatioHistogram{}
	for i := 0; len(raw) > 0; i++ {
		v, n := binary.Uvarint(raw)
		if n <= 0 || v > maxTallyCount || i >= ratioBins {
			return nil, eris.New("histogram holds a count that is out of range")
		}
		h[i], raw = int(v), raw[n:] //nolint:gosec // bounded above
	}
	return h, nil
}
