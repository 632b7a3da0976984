package burn

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
	"github.com/borageflow/borageflow/internal/trace"
)

var counterSampleSchema = schemacheck.Embedded("counters")

// ReadTrace passes every record of a trace to Record. It returns a *trace.LineError for a
// line that is not a valid record.
func (m *Meter) ReadTrace(r io.Reader) error {
	return trace.Read(r, func(record api.TraceRecord) error {
		m.Record(record)
		return nil
	})
}

// DecodeCounterSample decodes one line of counter samples. It returns schemacheck.Faults
// when the line does not match the schema, and an error when good exceeds total.
func DecodeCounterSample(line []byte) (api.CounterSample, error) {
	var sample api.CounterSample
	if err := counterSampleSchema.Decode(line, &sample); err != nil {
		return api.CounterSample{}, err
	}
	if sample.Good > sample.Total {
		return api.CounterSample{}, eris.New("good must not exceed total")
	}
	return sample, nil
}

// ReadCounters passes every counter sample of r, one JSON object a line, to
// RecordCounters. Empty lines are skipped; an error names the line.
func (m *Meter) ReadCounters(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), trace.MaxLineBytes)
	for line := 1; scanner.Scan(); line++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		sample, err := DecodeCounterSample(text)
		if err != nil {
			return eris.Wrapf(err, "counter line %d", line)
		}
		m.RecordCounters(sample)
	}
	return eris.Wrap(scanner.Err(), "counters cannot be read")
}
