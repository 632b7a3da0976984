package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/borageflow/borageflow/api"
)

func (c *Core) traceArrival(now time.Time, r *request) {
	c.emit(Trace{api.TraceRecord{
		At: int(now.UnixMicro()), Event: api.TraceEventArrival, Request: r.Request, Customer: r.customer.Name, Class: r.class.Name,
		Model: r.Model, Kind: string(r.Kind), Service: r.Service, Operation: r.Operation,
		IdempotencyKey: keyFingerprint(r), PromptTokens: promptTokens(r.Messages), MaxTokens: r.MaxTokens,
		Prefix: strconv.FormatUint(prefixFingerprint(r.Messages), 16),
	}})
}

// keyFingerprint identifies an idempotency key in the decision log without
// disclosing it.
func keyFingerprint(r *request) string {
	if r.IdempotencyKey == "" {
		return ""
	}
	return sha256Hex([]byte(r.IdempotencyKey))[:16]
}

func (c *Core) tracePlan(now time.Time, r *request) {
	names := make([]string, len(r.plan.Stages))
	for i, stage := range r.plan.Stages {
		names[i] = stage.Version
	}
	c.emit(Trace{api.TraceRecord{
		At: int(now.UnixMicro()), Event: api.TraceEventPlan, Request: r.Request, Class: r.class.Name,
		Reason: strings.Join(names, ","), Cost: r.plan.ExpectedCost,
	}})
}

func (c *Core) traceAttempt(now time.Time, r *request, a *attempt) {
	c.emit(Trace{api.TraceRecord{
		At: int(now.UnixMicro()), Event: api.TraceEventAttempt, Request: r.Request, Stage: a.stage, Attempt: a.number,
		Version: a.version, BackendServer: a.server,
	}})
}

func (c *Core) traceEnd(now time.Time, r *request, a Answer) {
	record := api.TraceRecord{
		At: int(now.UnixMicro()), Event: api.TraceEventEnd, Request: r.Request, Customer: r.customer.Name, Class: r.class.Name,
		Kind: string(r.Kind), Service: r.Service, Operation: r.Operation, Stage: r.stage, Version: r.version,
		RunState: string(api.RunStateRan), TotalUs: int(now.Sub(r.arrivedAt).Microseconds()),
		OutputTokens: r.outputTokens, Cost: r.cost,
	}
	if !r.firstTokenAt.IsZero() {
		record.FirstTokenUs = int(r.firstTokenAt.Sub(r.arrivedAt).Microseconds())
	}
	if a.Err != nil {
		record.ErrorKind = string(a.Err.Kind)
		record.RunState = string(a.Err.RunState)
		record.Reason = a.Err.Message
	}
	c.emit(Trace{record})
}
