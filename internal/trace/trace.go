// Package trace writes and reads the decision log, a file with one api.TraceRecord as
// JSON on each line. The writer has a bounded queue and counts the records that it drops;
// the reader rejects every line that does not match schema/trace.json.
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

// MaxLineBytes is the maximum length of a line, in bytes.
const MaxLineBytes = 1 << 20

var recordSchema = schemacheck.Embedded("trace")

// LineError reports a line of a trace that is not a valid record.
type LineError struct {
	// Line is the line number, counted from 1.
	Line  int
	cause error
}

// Error returns the line number and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("trace line %d: %v", e.Line, e.cause) }

// Unwrap returns the cause: schemacheck.Faults for a record that does not match the
// schema.
func (e *LineError) Unwrap() error { return e.cause }

// Decode decodes one line. It returns an error for unknown fields, unknown events,
// negative times and a rating outside the range 0 to 1.
func Decode(line []byte) (api.TraceRecord, error) {
	var record api.TraceRecord
	if err := recordSchema.Decode(line, &record); err != nil {
		return api.TraceRecord{}, err
	}
	if record.At < 0 || record.FirstTokenUs < 0 || record.TotalUs < 0 {
		return api.TraceRecord{}, eris.New("at, firstTokenUs and totalUs must not be negative")
	}
	if record.Rating < 0 || record.Rating > 1 {
		return api.TraceRecord{}, eris.New("rating must be between 0 and 1")
	}
	return record, nil
}

// Encode returns the record as one line of JSON, including the newline.
func Encode(record api.TraceRecord) ([]byte, error) {
	raw, err := json.Marshal(record)
	if err != nil {
		return nil, eris.Wrap(err, "trace record cannot be encoded")
	}
	return append(raw, '\n'), nil
}

// Read calls handle for every record of r and skips empty lines. It stops at the first
// invalid line, with a *LineError, and at the first error of handle.
func Read(r io.Reader, handle func(api.TraceRecord) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), MaxLineBytes)
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
		if err := handle(record); err != nil {
			return err
		}
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return &LineError{Line: line + 1, cause: eris.Errorf("line exceeds %d bytes", MaxLineBytes)}
	}
	return eris.Wrap(scanner.Err(), "trace cannot be read")
}

// ReadAll returns every record of r, with the errors of Read.
func ReadAll(r io.Reader) ([]api.TraceRecord, error) {
	var records []api.TraceRecord
	err := Read(r, func(record api.TraceRecord) error {
		records = append(records, record)
		return nil
	})
	return records, err
}
