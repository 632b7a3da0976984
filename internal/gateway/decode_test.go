package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

// Guards against settings of which only the first fault is reported. Each fault must be named
// with its path.
func TestSettingsAreChecked(t *testing.T) {
	_, err := ParseSettings([]byte(`{"role":"gateway","instance":"g 1","failureDomain":"a","listen":{"callers":"nowhere","health":"127.0.0.1:1"},"store":{"address":"127.0.0.1:2"},"extra":1}`))
	var faults schemacheck.Faults
	assert.Assert(t, errors.As(err, &faults))
	text := faults.Error()
	for _, path := range []string{"$.instance", "extra"} {
		assert.Assert(t, strings.Contains(text, path), "%s", text)
	}
	_, err = ParseSettings([]byte(`{"role":"gateway","instance":"g","failureDomain":"a","listen":{"callers":"nowhere","health":"127.0.0.1:1"},"store":{"address":"name:2"},"peers":{"listen":"x","relays":["127.0.0.1:3","y:4"]}}`))
	assert.ErrorContains(t, err, "$.listen.callers")
	assert.ErrorContains(t, err, "$.store.address")
	assert.ErrorContains(t, err, "$.peers.listen")
	assert.ErrorContains(t, err, "$.peers.relays[1]")
}

// Guards against bytes of a stream that are lost or changed when it is split into events, and against
// a part of an event that counts as a whole one, or the reverse.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nrest"))
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		events := newEventReader(bytes.NewReader(raw), newBufferMemory())
		defer events.close()
		var out []byte
		for {
			event, _, err := events.next()
			out = append(out, event...)
			lines := bytes.SplitAfter(event, []byte("\n"))
			blanks := 0
			for _, line := range lines[:len(lines)-1] {
				if len(bytes.TrimRight(line, "\r\n")) == 0 {
					blanks++
				}
			}
			if err == nil && (blanks != 1 || len(lines[len(lines)-1]) != 0 || len(bytes.TrimRight(lines[len(lines)-2], "\r\n")) != 0) {
				t.Fatalf("%q counts as one event", event)
			}
			if errors.Is(err, io.EOF) {
				if blanks != 0 {
					t.Fatalf("%q counts as a part of an event", event)
				}
				break
			}
			if err != nil {
				return
			}
		}
		if !bytes.Equal(out, raw) {
			t.Fatalf("%q became %q", raw, out)
		}
	})
}

// Guards against headers of a caller or a worker that crash the process or yield a negative
// deadline. A header that cannot be parsed must count as absent.
func FuzzHeaders(f *testing.F) {
	f.Add("1460,80", "5c1e:800,91bd:410", "3,0,8", "8000")
	f.Fuzz(func(t *testing.T, tokens, prompt, load, deadline string) {
		h := http.Header{}
		h.Set(DefaultHeaderNames.Tokens, tokens)
		h.Set(DefaultHeaderNames.Prompt, prompt)
		h.Set(DefaultHeaderNames.Load, load)
		h.Set(DefaultHeaderNames.DeadlineMs, deadline)
		if m := DefaultHeaderNames.RequestMeta(h); m.TimeLimit < 0 {
			t.Fatalf("deadline %q became %v", deadline, m.TimeLimit)
		}
		DefaultHeaderNames.ResponseMeta(h)
	})
}

// Guards against idle connections that are kept as long as the worker's own timeout or longer.
// The timeout is reduced by a margin, also when nothing is left of it.
func TestParseIdleTimeout(t *testing.T) {
	assert.Equal(t, parseIdleTimeout("timeout=5, max=100").Seconds(), 4.0)
	assert.Equal(t, parseIdleTimeout("max=100"), defaultIdleTimeout)
	assert.Assert(t, parseIdleTimeout("timeout=1") <= 0)
}

// Guards against a limit that is read wrongly, and against a malformed one that counts.
func TestRateLimitIsRead(t *testing.T) {
	for value, want := range map[string]float64{"1": 1, "0.25": 0.25, "12.5": 12.5, "0": 0, "": -1, "-1": -1, "NaN": -1, "+Inf": -1, "1e400": -1, "two": -1, "1,2": -1} {
		meta := DefaultHeaderNames.ResponseMeta(http.Header{DefaultHeaderNames.RateLimit: {value}})
		assert.Equal(t, meta.HasRateLimit, want >= 0, "%q", value)
		if meta.HasRateLimit {
			assert.Equal(t, meta.RateLimit, want, "%q", value)
		}
	}
}

// Guards against a pause that is read wrongly: fractions and zero count, malformed, negative and
// infinite values do not, and a huge one is bounded.
func TestRetryAfterIsRead(t *testing.T) {
	for value, want := range map[string]time.Duration{"2": 2 * time.Second, "0.25": 250 * time.Millisecond, "0": 0, "1e12": time.Hour, "": -1, "-1": -1, "soon": -1, "NaN": -1, "+Inf": -1} {
		meta := DefaultHeaderNames.ResponseMeta(http.Header{"Retry-After": {value}})
		assert.Equal(t, meta.HasRetryAfter, want >= 0, "%q", value)
		if meta.HasRetryAfter {
			assert.Equal(t, meta.RetryAfter, want, "%q", value)
		}
	}
}

// Guards against a load that is read wrongly, one with a pace above all, and against a malformed one that
// counts.
func TestLoadIsRead(t *testing.T) {
	for value, want := range map[string]forward.Load{
		"3,0,8":         {Running: 3, Slots: 8},
		"3, 1, 8, 100":  {Running: 3, Waiting: 1, Slots: 8, Pace: 1},
		"64,12,64,250":  {Running: 64, Waiting: 12, Slots: 64, Pace: 2.5},
		"3,0,8,87.5":    {Running: 3, Slots: 8, Pace: 0.875},
		"":              {},
		"3,0":           {},
		"3,0,8,":        {},
		"3,0,8,0":       {},
		"3,0,8,-100":    {},
		"3,0,8,NaN":     {},
		"3,0,8,+Inf":    {},
		"3,x,8,100":     {},
		"3,0,8,100,100": {},
	} {
		meta := DefaultHeaderNames.ResponseMeta(http.Header{DefaultHeaderNames.Load: {value}})
		assert.Equal(t, meta.HasLoad, want != forward.Load{}, "%q", value)
		assert.Equal(t, meta.Load, want, "%q", value)
	}
}

// Guards against a size in a caller's header that no engine can hold and that spoils the times and loads that are
// learned from its answer.
func TestImpossiblePromptSizesAreNotUsed(t *testing.T) {
	for header, parts := range map[string]int{"1:1000,2:9000000000000000000": 1, "1:-5,2:10": 0, "1:1000,2:40000": 2} {
		assert.Equal(t, len(parsePromptParts(header)), parts, header)
	}
}
