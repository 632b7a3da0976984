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
	recorderQueueSize = 8192
	// traceFileBytes bounds the size of the trace file of one process.
	traceFileBytes = 256 << 20
	// burnExpireInterval is how often the burn meter gives up requests that did not finish.
	burnExpireInterval = 10 * time.Second
)

// recorder writes the trace file and measures the burn rates of the service-level
// objectives. When the queue is full, a record is dropped and counted.
type recorder struct {
	records        *ring.Queue[api.TraceRecord]
	statusRequests chan chan []api.ObjectiveStatus
	log            *zap.Logger
	startedAt      time.Time
	file           *os.File
	writer         *trace.Writer
	meter          *burn.Meter
	// meteredManifest is the manifest of the objectives that meter measures.
	meteredManifest api.Manifest
	// manifests carries the newest manifest to the recorder's goroutine.
	manifests chan api.Manifest
}

// newRecorder returns a recorder. It opens the trace file when the settings name one.
func newRecorder(s *api.TraceSettings, log *zap.Logger) (*recorder, error) {
	r := &recorder{
		records: ring.New[api.TraceRecord](recorderQueueSize), statusRequests: make(chan chan []api.ObjectiveStatus),
		log: log, startedAt: time.Now(), manifests: make(chan api.Manifest, 1),
	}
	if s == nil || s.File == "" {
		return r, nil
	}
	file, err := os.OpenFile(s.File, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "trace file %s cannot be opened", s.File)
	}
	r.file = file
	r.writer = trace.NewWriter(file, recorderQueueSize, traceFileBytes)
	return r, nil
}

// record queues a trace record. Its time is made relative to the start of the recorder; a
// record without a time gets the current one.
func (r *recorder) record(record api.TraceRecord) {
	if record.At == 0 {
		record.At = int(time.Now().UnixMicro())
	}
	record.At = max(record.At-int(r.startedAt.UnixMicro()), 0)
	r.records.TryPut(record)
}

// replaceObjectives replaces the objectives by those of m. If they differ, the burn windows
// start empty, since counts under different bounds cannot be added.
func (r *recorder) replaceObjectives(m api.Manifest) {
	select {
	case <-r.manifests:
	default:
	}
	r.manifests <- m
}

func (r *recorder) run(ctx context.Context) {
	ticker := time.NewTicker(burnExpireInterval)
	defer ticker.Stop()
	defer r.close()
	for {
		select {
		case <-ctx.Done():
			return
		case record := <-r.records.Items():
			r.process(record)
		case m := <-r.manifests:
			r.setManifest(m)
		case answer := <-r.statusRequests:
			answer <- r.currentStatus()
		case <-ticker.C:
			if r.meter != nil {
				r.meter.Expire(time.Since(r.startedAt))
			}
		}
	}
}

func (r *recorder) process(record api.TraceRecord) {
	if r.writer != nil {
		r.writer.Record(record)
	}
	if r.meter != nil {
		r.meter.Record(record)
	}
}

func (r *recorder) setManifest(m api.Manifest) {
	if r.meter == nil || !sameObjectives(r.meteredManifest, m) {
		r.meter = burn.NewMeter(m)
	}
	r.meteredManifest = m
}

func (r *recorder) currentStatus() []api.ObjectiveStatus {
	if r.meter == nil {
		return nil
	}
	return r.meter.Status(time.Since(r.startedAt))
}

// objectiveStatus returns the state of the objectives from the recorder's goroutine, nil
// when ctx ends first.
func (r *recorder) objectiveStatus(ctx context.Context) []api.ObjectiveStatus {
	answer := make(chan []api.ObjectiveStatus, 1)
	select {
	case r.statusRequests <- answer:
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
		r.log.Warn("trace file is incomplete, records may be missing", zap.Error(err))
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
