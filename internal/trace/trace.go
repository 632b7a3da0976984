// Package trace writes and reads the decision log: JSON lines of
// api.TraceRecord. The writer is bounded and counts what it drops; the reader is
// strict.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

// MaxLine bounds one line of a trace, in bytes.
const MaxLine = 1 << 20

var recordSchema = schemacheck.Embedded("trace")

// LineError is a fault in one line of a trace.
type LineError struct {
	// Line counts from 1.
	Line  int
	cause error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("trace line %d: %v", e.Line, e.cause) }

// Unwrap returns the cause, schemacheck.Faults for a record that does not match.
func (e *LineError) Unwrap() error { return e.cause }

// Decode decodes one line. Unknown fields, unknown events and negative times are
// errors.
func Decode(line []byte) (api.TraceRecord, error) {
	var record api.TraceRecord
	if err := recordSchema.Decode(line, &record); err != nil {
		return api.TraceRecord{}, err
	}
	if record.At < 0 || record.FirstTokenUs < 0 || record.TotalUs < 0 {
		return api.TraceRecord{}, eris.New("a time is negative")
	}
	if record.Rating < 0 || record.Rating > 1 {
		return api.TraceRecord{}, eris.New("the rating is not between 0 and 1")
	}
	return record, nil
}

// Encode returns the line of a record, with its newline.
func Encode(record api.TraceRecord) ([]byte, error) {
	raw, err := json.Marshal(record)
	if err != nil {
		return nil, eris.Wrap(err, "trace record cannot be encoded")
	}
	return append(raw, '\n'), nil
}

// Read calls each for every record of r. It stops at the first fault, which is a
// *LineError, and at the first error of each.
func Read(r io.Reader, each func(api.TraceRecord) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), MaxLine)
	line := 0
	for scanner.Scan() {
		line++
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		record, err := Decode(text)
		if err != nil {
			return &LineError{Line: line, cause: err}
		}
		if err := each(record); err != nil {
			return err
		}
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return &LineError{Line: line + 1, cause: eris.Errorf("line exceeds %d bytes", MaxLine)}
	}
	return eris.Wrap(scanner.Err(), "trace cannot be read")
}

// ReadAll returns every record of r.
func ReadAll(r io.Reader) ([]api.TraceRecord, error) {
	var records []api.TraceRecord
	err := Read(r, func(record api.TraceRecord) error {
		records = append(records, record)
		return nil
	})
	return records, err
}
