package daemon

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/burn"
	"github.com/borageflow/borageflow/internal/ring"
	"github.com/borageflow/borageflow/internal/trace"
)

const (
	recorderRing = 8192
	// traceFileBytes bounds the decision log of one process.
	traceFileBytes = 256 << 20
	// burnExpiry is how often unfinished requests are given up in the burn report.
	burnExpiry = 10 * time.Second
)

// recorder writes the decision log and keeps the burn of the service-level
// objectives. A full ring drops a line, which is counted.
type recorder struct {
	records *ring.Ring[api.TraceRecord]
	ask     chan chan []api.ObjectiveStatus
	log     *zap.Logger
	start   time.Time
	file    *os.File
	writer  *trace.Writer
	meter   *burn.Meter
	// measured is the manifest whose objectives the meter holds.
	measured api.Manifest
	// manifests brings the manifest in force, whose objectives are measured.
	manifests chan api.Manifest
}

// newRecorder opens the decision log when settings name a file.
func newRecorder(s *api.TraceSettings, log *zap.Logger) (*recorder, error) {
	r := &recorder{
		records: ring.New[api.TraceRecord](recorderRing), ask: make(chan chan []api.ObjectiveStatus),
		log: log, start: time.Now(), manifests: make(chan api.Manifest, 1),
	}
	if s == nil || s.File == "" {
		return r, nil
	}
	file, err := os.OpenFile(s.File, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "trace file %s cannot be opened", s.File)
	}
	r.file = file
	r.writer = trace.NewWriter(file, recorderRing, traceFileBytes)
	return r, nil
}

// record takes one line. Its time becomes relative to the start of the process; a
// line without a time happens now.
func (r *recorder) record(line api.TraceRecord) {
	if line.At == 0 {
		line.At = int(time.Now().UnixMicro())
	}
	line.At = max(line.At-int(r.start.UnixMicro()), 0)
	r.records.Offer(line)
}

// objectives replaces the objectives. Windows start anew, since counts under
// other bounds cannot be added.
func (r *recorder) objectives(m api.Manifest) {
	select {
	case <-r.manifests:
	default:
	}
	r.manifests <- m
}

func (r *recorder) run(ctx context.Context) {
	ticker := time.NewTicker(burnExpiry)
	defer ticker.Stop()
	defer r.close()
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-r.records.Items():
			r.take(line)
		case m := <-r.manifests:
			r.setManifest(m)
		case answer := <-r.ask:
			answer <- r.status()
		case <-ticker.C:
			if r.meter != nil {
				r.meter.Expire(time.Since(r.start))
			}
		}
	}
}

func (r *recorder) take(line api.TraceRecord) {
	if r.writer != nil {
		r.writer.Record(line)
	}
	if r.meter != nil {
		r.meter.Record(line)
	}
}

func (r *recorder) setManifest(m api.Manifest) {
	if r.meter == nil || !sameObjectives(r.measured, m) {
		r.meter = burn.NewMeter(m)
	}
	r.measured = m
}

func (r *recorder) status() []api.ObjectiveStatus {
	if r.meter == nil {
		return nil
	}
	return r.meter.Status(time.Since(r.start))
}

// burn asks the recorder's goroutine for the state of the objectives.
func (r *recorder) burn(ctx context.Context) []api.ObjectiveStatus {
	answer := make(chan []api.ObjectiveStatus, 1)
	select {
	case r.ask <- answer:
		return <-answer
	case <-ctx.Done():
		return nil
	}
}

func (r *recorder) close() {
	if r.writer == nil {
		return
	}
	if err := r.writer.Close(); err != nil {
		r.log.Warn("decision log is incomplete", zap.Error(err))
	}
	_ = r.file.Close()
}

func sameObjectives(a, b api.Manifest) bool {
	if len(a.Objectives) != len(b.Objectives) {
		return false
	}
	for i := range a.Objectives {
		if a.Objectives[i] != b.Objectives[i] {
			return false
		}
	}
	return true
}
