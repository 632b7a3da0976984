package gateway

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/forward"
	"github.com/borageflow/borageflow/internal/framing"
)

// attemptRecord is one attempt in the log line of a request.
type attemptRecord struct {
	Worker  string `json:"worker"`
	Version string `json:"version,omitempty"`
	Model   string `json:"model,omitempty"`
	Outcome string `json:"outcome"`
	// Load and LoadAgeMs are the estimated load of the worker when it was chosen, and the age
	// of its last report, -1 without one.
	Load      float64 `json:"load"`
	LoadAgeMs int64   `json:"load_age_ms"`
	// LeftFor is why the worker is in another failure domain, empty if it is not.
	LeftFor string `json:"left_for,omitempty"`
	// UncachedTokens is the estimated number of prompt tokens that the worker had to read.
	UncachedTokens int `json:"uncached_tokens,omitempty"`
	// StartMs is the time from the arrival of the request to the start of the attempt.
	StartMs int64 `json:"start_ms"`
	// HeaderMs is the time from the start of the attempt to the header of the response, -1 if
	// none arrived.
	HeaderMs int64 `json:"header_ms"`
	// EndMs is the time from the start of the attempt to its end. An answer that is set aside ends
	// for the request when it is.
	EndMs int64 `json:"end_ms"`
	// Confidence is the stated confidence, and MinConfidence the one below which the answer is
	// set aside; both are 0 where no larger model could be asked.
	Confidence    int `json:"confidence,omitempty"`
	MinConfidence int `json:"min_confidence,omitempty"`
	// RetryCause is why the attempt is a retry, RetryWaitMs the time from taking it from the budget to
	// sending it, and RetriesLeft what the budget then held.
	RetryCause  forward.RetryCause `json:"retry_cause,omitempty"`
	RetryWaitMs int64              `json:"retry_wait_ms,omitempty"`
	RetriesLeft float64            `json:"retries_left,omitempty"`
	// Framing is what marks the end of the body: "length", "chunks" or "connection"; "" without
	// a header.
	Framing string `json:"framing,omitempty"`
	// Events, BodyBytes and TailBytes are the whole events of a stream, their bytes and the bytes
	// after the last whole event.
	Events    int `json:"events,omitempty"`
	BodyBytes int `json:"body_bytes,omitempty"`
	TailBytes int `json:"tail_bytes,omitempty"`
	// SilentMs is the longest time for which the worker sent nothing while its answer was awaited. It tells a
	// silent worker from a connection that broke.
	SilentMs int64 `json:"silent_ms"`
	// Cause is why the answer is not whole, as in the metric of unfinished answers, or "" if it is whole.
	Cause framing.Cause `json:"cause,omitempty"`
}

// countEvent counts what the reader of a stream returned: a whole event, or the bytes after the
// last one together with the error that ended the stream.
func (r *attemptRecord) countEvent(bytes int, err error) {
	if err != nil {
		r.TailBytes = bytes
		return
	}
	r.Events++
	r.BodyBytes += bytes
}

// maxLoggedAttempts bounds the attempts in the log line of a request.
const maxLoggedAttempts = 8

// recordAttempt keeps an attempt for the log line.
func (r *request) recordAttempt(a *attempt, outcome string) {
	if len(r.attempts) >= maxLoggedAttempts {
		return
	}
	a.record.Worker, a.record.Version, a.record.Model, a.record.Outcome = a.worker.ID, a.worker.Version, a.model, outcome
	a.record.EndMs = time.Since(a.started).Milliseconds()
	if a.exchange != nil && !a.isHeld && a.exchange.isDone { // one that is held is read by another goroutine
		a.record.SilentMs = a.exchange.longestSilence.Milliseconds()
	}
	r.attempts = append(r.attempts, a.record)
}

// logEnd writes the log line of the request.
func (r *request) logEnd(snapshot *configSnapshot, refusal *errkind.Error, outcome string) {
	fields := []zap.Field{
		zap.String("request", r.inbound.meta.RequestID), zap.String("route", r.route.Name), zap.String("customer", r.customer.Name),
		zap.String("outcome", outcome), zap.Int64("config", snapshot.config.Version),
		zap.Int64("config_age_ms", r.gateway.dispatcher.confirmedConfig(snapshot).Age(sinceBoot()).Milliseconds()),
		zap.Any("attempts", r.attempts), zap.Int("cached_tokens", r.placement.CachedTokens), zap.String("version", r.placement.Worker.Version),
		zap.Int64("first_byte_ms", r.firstByteLatency.Milliseconds()), zap.Int64("total_ms", time.Since(r.started).Milliseconds()),
	}
	if r.deliveredHeld {
		fields = append(fields, zap.String("delivered", "answer set aside for a larger model"))
	}
	if refusal != nil && outcome != outcomeCallerLeft {
		fields = append(fields, zap.String("kind", string(refusal.Kind)), zap.String("reason", refusal.Message), zap.Bool("ran", r.mayHaveRun))
	}
	if r.noRetryReason != "" {
		fields = append(fields, zap.String("no_retry", r.noRetryReason))
	}
	if r.lastError != nil {
		fields = append(fields, zap.String("last_error", r.lastError.Error()))
		if parts := promptIDs(r.inbound.meta.Prompt); len(parts) > 0 {
			fields = append(fields, zap.Strings("prompt", parts))
		}
	}
	r.gateway.requestLog.Info("request has ended", fields...)
}

// maxLoggedParts bounds the parts of a prompt in the log line of a request.
const maxLoggedParts = 8

// promptIDs returns the IDs of the first parts of a prompt in hexadecimal, as the caller wrote them
// but for leading zeros.
func promptIDs(prompt []forward.PromptPart) []string {
	out := make([]string, 0, min(len(prompt), maxLoggedParts))
	for _, part := range prompt[:min(len(prompt), maxLoggedParts)] {
		out = append(out, strconv.FormatUint(part.ID, 16))
	}
	return out
}
