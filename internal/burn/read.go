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

var counterSchema = schemacheck.Embedded("counters")

// ReadTrace feeds every record of a trace.
func (m *Meter) ReadTrace(r io.Reader) error {
	return trace.Read(r, func(record api.TraceRecord) error {
		m.Record(record)
		return nil
	})
}

// DecodeCounter decodes one line of counters.
func DecodeCounter(line []byte) (api.CounterSample, error) {
	var sample api.CounterSample
	if err := counterSchema.Decode(line, &sample); err != nil {
		return api.CounterSample{}, err
	}
	if sample.Good > sample.Total {
		return api.CounterSample{}, eris.New("good exceeds total")
	}
	return sample, nil
}

// ReadCounters feeds every counter sample of r.
func (m *Meter) ReadCounters(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), trace.MaxLine)
	for line := 1; scanner.Scan(); line++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		sample, err := DecodeCounter(text)
		if err != nil {
			return eris.Wrapf(err, "counter line %d", line)
		}
		m.Counter(sample)
	}
	return eris.Wrap(scanner.Err(), "counters cannot be read")
}
