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

// Guards against records that change on their way through a trace.
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

// Guards against a trace that grows without bound, or drops without a count.
func TestWriterIsBounded(t *testing.T) {
	reader, writer := io.Pipe()
	w := NewWriter(writer, 2, 100)
	for range 200 {
		w.Record(api.TraceRecord{Event: api.TraceEventPlan})
	}
	read := make(chan []byte)
	go func() {
		raw, _ := io.ReadAll(reader)
		read <- raw
	}()
	assert.NilError(t, w.Close())
	raw := <-read
	assert.Assert(t, len(raw) <= 100)
	lines := uint64(bytes.Count(raw, []byte("\n")))
	assert.Equal(t, lines+w.Dropped(), uint64(200))
}

// Guards against faults that are passed over, or that do not name their line.
func TestReadIsStrict(t *testing.T) {
	good := `{"at":1,"event":"end"}` + "\n"
	for _, bad := range []string{
		`{"at":1,"event":"finish"}`, `{"at":1,"event":"end","colour":1}`, `{"event":"end"}`,
		`{"at":-1,"event":"end"}`, `{"at":1,"event":"end"} x`, `{"at":1,"event":"rating","rating":2}`,
		`{"at":1,"event":"end","request":"` + strings.Repeat("x", MaxLine) + `"}`,
	} {
		err := Read(strings.NewReader(good+bad+"\n"), func(api.TraceRecord) error { return nil })
		var fault *LineError
		assert.Assert(t, errors.As(err, &fault), "%.60q accepted", bad)
		assert.Equal(t, fault.Line, 2)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"at":1,"event":"end","totalUs":5,"rating":0.5}`))
	f.Add([]byte(`{"at":1e3,"event":"config"}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		record, err := Decode(line)
		if err != nil {
			return
		}
		again, err := Encode(record)
		assert.NilError(t, err)
		second, err := Decode(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, second, record)
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
