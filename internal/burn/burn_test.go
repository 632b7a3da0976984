package burn

import (
	"encoding/json"
	"encoding/xml"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// newManifest returns a manifest with the class quick and a deadline of 5 s.
func newManifest(objectives ...api.Objective) api.Manifest {
	return api.Manifest{
		Classes:    []api.Class{{Name: "quick", DeadlineMs: 5000}},
		Objectives: objectives,
	}
}

// newEndRecord returns the end of a request of 10 tokens, 1 ms apart.
func newEndRecord(at time.Duration, errorKind string, firstTokenMs int) api.TraceRecord {
	return api.TraceRecord{
		At: int(at.Microseconds()), Event: api.TraceEventEnd, Class: "quick",
		ErrorKind: errorKind, FirstTokenUs: firstTokenMs * 1000, TotalUs: firstTokenMs*1000 + 9000, OutputTokens: 10,
	}
}

// Guards against wrong burn rates: at a target of 99%, 1 bad request in 100 is a burn
// rate of 1, and old losses must count only in the windows that reach back to them.
func TestBurnByWindow(t *testing.T) {
	m := NewMeter(newManifest(api.Objective{Class: "quick", Target: 0.99, FirstTokenMs: 100}))
	for i := range 100 {
		firstTokenMs := 50
		if i < 10 {
			firstTokenMs = 200
		}
		m.Record(newEndRecord(time.Duration(i)*time.Second, "", firstTokenMs))
	}
	for i := range 100 {
		m.Record(newEndRecord(20*time.Minute+time.Duration(i)*time.Second, "", 50))
	}
	windows := m.Status(21*time.Minute + 40*time.Second)[0].Windows
	assert.Equal(t, windows[0].Total, 100)
	assert.Equal(t, windows[0].Burn, 0.0)
	assert.Equal(t, windows[1].Total, 200)
	assert.Assert(t, windows[1].Burn > 4.99 && windows[1].Burn < 5.01, "%v", windows[1].Burn)
}

// Guards against bad requests that use no error budget: a slow stream, a service error
// and an arrival without an end are bad. An error that the caller caused does not count.
func TestRequestClassification(t *testing.T) {
	m := NewMeter(newManifest(api.Objective{Class: "quick", Target: 0.9, TokenMs: 5}))
	m.Record(newEndRecord(time.Second, "", 10))
	slow := newEndRecord(time.Second, "", 10)
	slow.TotalUs = 10_000 + 9*5_001
	m.Record(slow)
	m.Record(newEndRecord(time.Second, string(errkind.Overloaded), 0))
	m.Record(newEndRecord(time.Second, string(errkind.InvalidRequest), 0))
	m.Record(api.TraceRecord{At: 1, Event: api.TraceEventArrival, Request: "lost", Class: "quick"})
	m.Record(api.TraceRecord{At: 7_000_000, Event: api.TraceEventArrival, Request: "running", Class: "quick"})
	report := m.Report()
	assert.Equal(t, report.Objectives[0].Windows[0].Total, 4)
	assert.Equal(t, report.Objectives[0].Windows[0].Good, 1)
}

// Guards against alerts that page for a past loss, fire on a single bad request, or do
// not fire during a loss.
func TestAlertVerdicts(t *testing.T) {
	cases := []struct {
		name          string
		start, length time.Duration // of the loss
		oneIn         int           // of these requests, one is bad
		want          Verdict
	}{
		{"healthy", 0, 0, 1, VerdictOK},
		{"ongoing outage", 5*time.Hour + 30*time.Minute, 30 * time.Minute, 2, VerdictPage},
		{"past outage", 0, 30 * time.Minute, 2, VerdictTicket},
		{"slow loss", 0, 6 * time.Hour, 80, VerdictTicket},
		{"below budget", 0, 6 * time.Hour, 200, VerdictOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := NewMeter(newManifest(api.Objective{Class: "quick", Target: 0.99}))
			for i := range 6 * 3600 {
				at := time.Duration(i) * time.Second
				kind := ""
				if at >= c.start && at < c.start+c.length && i%c.oneIn == 0 {
					kind = string(errkind.UpstreamFailed)
				}
				m.Record(newEndRecord(at, kind, 1))
			}
			assert.Equal(t, m.Report().WorstVerdict(), c.want)
		})
	}
	m := NewMeter(newManifest(api.Objective{Class: "quick", Target: 0.99}))
	m.Record(newEndRecord(0, string(errkind.Internal), 0))
	assert.Equal(t, m.Report().WorstVerdict(), VerdictOK)
}

// Guards against cumulative counters that are counted twice, or lost when an instance
// restarts and counts from 0 again.
func TestCountersAreCumulative(t *testing.T) {
	m := NewMeter(newManifest(api.Objective{Class: "quick", Target: 0.9}))
	lines := `{"at":0,"class":"quick","instance":"a","good":90,"total":100}
{"at":1000000,"class":"quick","instance":"a","good":180,"total":200}
{"at":2000000,"class":"quick","instance":"a","good":9,"total":10}
{"at":2000000,"class":"quick","instance":"b","good":10,"total":10}
`
	assert.NilError(t, m.ReadCounters(strings.NewReader(lines)))
	window := m.Report().Objectives[0].Windows[0]
	assert.Equal(t, window.Total, 220)
	assert.Equal(t, window.Good, 199)
	assert.ErrorContains(t, m.ReadCounters(strings.NewReader(`{"at":0,"class":"x","good":2,"total":1}`)), "line 1")
}

// Guards against a page that loads external resources, that lets a class name inject
// HTML, or that is not well formed.
func TestPageIsSelfContained(t *testing.T) {
	injection := `<script src="http://x/y.js">`
	m := NewMeter(newManifest(api.Objective{Class: injection, Target: 0.99}))
	for i := range 3600 {
		record := newEndRecord(time.Duration(i)*time.Second, "", 1)
		record.Class = injection
		if i > 3000 {
			record.ErrorKind = string(errkind.Internal)
		}
		m.Record(record)
	}
	var page, text strings.Builder
	assert.NilError(t, m.Report().WriteHTML(&page))
	assert.NilError(t, m.Report().WriteText(&text))
	// The class name appears on the page with its quotes escaped, so it loads nothing.
	for _, loader := range []string{"<script", "src=", "href=", "@import", "url("} {
		assert.Assert(t, !strings.Contains(strings.ReplaceAll(page.String(), "src=&#34;", ""), loader), loader)
	}
	assert.Assert(t, strings.Contains(page.String(), "<polyline"))
	assert.Assert(t, strings.Contains(text.String(), "page: burn at least 14.4 over 1 h and 5 min"), text.String())
	decoder := xml.NewDecoder(strings.NewReader(page.String()))
	decoder.Strict, decoder.AutoClose, decoder.Entity = false, xml.HTMLAutoClose, xml.HTMLEntity
	elements := 0
	for {
		token, err := decoder.Token()
		if token == nil {
			break
		}
		assert.NilError(t, err)
		if _, ok := token.(xml.StartElement); ok {
			elements++
		}
	}
	assert.Assert(t, elements > 20)
}

// Guards against a counter sample that is accepted and leads to a burn rate that is not a
// finite number, which JSON cannot encode.
func FuzzDecodeCounter(f *testing.F) {
	f.Add([]byte(`{"at":0,"class":"quick","good":1,"total":2}`))
	f.Add([]byte(`{"at":9223372036854775807,"class":"quick","good":1,"total":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		sample, err := DecodeCounterSample(line)
		if err != nil {
			return
		}
		m := NewMeter(newManifest(api.Objective{Class: sample.Class, Target: 0.9}))
		m.RecordCounters(sample)
		for _, o := range m.Report().Objectives {
			raw, err := json.Marshal(o.Windows)
			assert.NilError(t, err, "burn rate is not a number: %s", raw)
		}
	})
}
