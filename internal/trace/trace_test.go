package trace

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
)

// Guards against records that differ after they were written and read back.
func TestWriteAndRead(t *testing.T) {
	var buffer bytes.Buffer
	w := NewWriter(&buffer, 16, 0)
	want := []api.TraceRecord{
		{At: 1, Event: api.TraceEventArrival, Request: "r1", Customer: "c", Kind: "chat", MaxTokens: 8},
		{At: 9, Event: api.TraceEventEnd, Request: "r1", Version: "m-1", TotalUs: 8, Cost: 0.25},
	}
	for _, record := range want {
		assert.Assert(t, w.Record(record))
	}
	assert.NilError(t, w.Close())
	got, err := ReadAll(&buffer)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

// Guards against a writer that exceeds maxBytes, or drops records without counting them.
func TestWriterStaysWithinMaxBytes(t *testing.T) {
	reader, writer := io.Pipe()
	w := NewWriter(writer, 2, 100)
	for range 200 {
		w.Record(api.TraceRecord{Event: api.TraceEventPlan})
	}
	contents := make(chan []byte)
	go func() {
		raw, _ := io.ReadAll(reader)
		contents <- raw
	}()
	assert.NilError(t, w.Close())
	raw := <-contents
	assert.Assert(t, len(raw) <= 100)
	lines := uint64(bytes.Count(raw, []byte("\n")))
	assert.Equal(t, lines+w.DroppedCount(), uint64(200))
}

// Guards against invalid lines that the reader accepts, or reports without their line
// number.
func TestReadRejectsInvalidLines(t *testing.T) {
	validLine := `{"at":1,"event":"end"}` + "\n"
	for _, invalid := range []string{
		`{"at":1,"event":"finish"}`, `{"at":1,"event":"end","colour":1}`, `{"event":"end"}`,
		`{"at":-1,"event":"end"}`, `{"at":1,"event":"end"} x`, `{"at":1,"event":"rating","rating":2}`,
		`{"at":1,"event":"end","request":"` + strings.Repeat("x", MaxLineBytes) + `"}`,
	} {
		err := Read(strings.NewReader(validLine+invalid+"\n"), func(api.TraceRecord) error { return nil })
		var lineErr *LineError
		assert.Assert(t, errors.As(err, &lineErr), "%.60q accepted", invalid)
		assert.Equal(t, lineErr.Line, 2)
	}
}

// Guards against an accepted record that is rejected or differs after it is encoded and
// decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"at":1,"event":"end","totalUs":5,"rating":0.5}`))
	f.Add([]byte(`{"at":1e3,"event":"config"}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		record, err := Decode(line)
		if err != nil {
			return
		}
		encoded, err := Encode(record)
		assert.NilError(t, err)
		decoded, err := Decode(encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, record)
	})
}

func BenchmarkDecode(b *testing.B) {
	line := []byte(`{"at":1,"event":"end","request":"r1","customer":"c","version":"m-1","totalUs":5}`)
	for b.Loop() {
		if _, err := Decode(line); err != nil {
			b.Fatal(err)
		}
	}
}
