// Package loadgen sends an open-loop load to entries through the caller API and measures the
// outcomes and latencies that callers see. Latencies count from the scheduled arrival, so that
// a slow system cannot hide its delays by slowing down the load.
package loadgen

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

var planSchema = schemacheck.Embedded("loadplan")

// DecodePlan decodes a plan from JSON and checks it against the schema loadplan and the rules
// between its fields. The error is a schemacheck.Faults that lists every fault.
func DecodePlan(raw []byte) (api.LoadPlan, error) {
	var plan api.LoadPlan
	if err := planSchema.Decode(raw, &plan); err != nil {
		return api.LoadPlan{}, err
	}
	var faults schemacheck.Faults
	for i, class := range plan.Classes {
		faults = append(faults, checkClass(plan, class, fmt.Sprintf("$.classes[%d]", i))...)
	}
	if len(faults) > 0 {
		return api.LoadPlan{}, faults
	}
	return plan, nil
}

func checkClass(plan api.LoadPlan, class api.LoadClass, path string) schemacheck.Faults {
	var faults schemacheck.Faults
	if class.Kind == api.LoadKindEngine {
		if class.URL == "" {
			faults = append(faults, schemacheck.Fault{Path: path, Problem: "kind engine requires url"})
		}
		return faults
	}
	if _, ok := plan.Keys[class.Customer]; !ok {
		faults = append(faults, schemacheck.Fault{
			Path: path + ".customer", Problem: fmt.Sprintf("customer %q has no entry in keys", class.Customer),
		})
	}
	if class.Kind == api.LoadKindService && (class.Service == "" || class.Operation == "") {
		faults = append(faults, schemacheck.Fault{
			Path: path, Problem: "kind service requires service and operation",
		})
	}
	return faults
}

// convertTrace returns the arrivals of a trace, with times divided by the plan's speed, and
// appends the classes that they use to the plan.
func convertTrace(plan *api.LoadPlan, records []api.TraceRecord) ([]arrival, error) {
	classIndexes := map[api.LoadClass]int{}
	var arrivals []arrival
	for _, record := range records {
		if record.Event != api.TraceEventArrival {
			continue
		}
		if _, ok := plan.Keys[record.Customer]; !ok {
			return nil, eris.Errorf("customer %q of the trace has no API key in the plan's keys", record.Customer)
		}
		class := traceClass(record)
		classIndex, ok := classIndexes[class]
		if !ok {
			classIndex = len(plan.Classes)
			classIndexes[class] = classIndex
			plan.Classes = append(plan.Classes, class)
		}
		arrivals = append(arrivals, arrival{
			at: microseconds(float64(record.At) / plan.Speed), class: classIndex,
			promptTokens: record.PromptTokens, maxTokens: record.MaxTokens,
			prefix: record.Prefix, idempotencyKey: record.IdempotencyKey, session: record.Session,
		})
	}
	if len(arrivals) == 0 {
		return nil, eris.New("trace has no arrival records")
	}
	return arrivals, nil
}

func traceClass(record api.TraceRecord) api.LoadClass {
	class := api.LoadClass{
		Name: record.Class, Kind: api.LoadKindChat, Customer: record.Customer,
		Class: record.Class, Model: record.Model, Weight: 1, Turns: 1,
	}
	if record.Kind == string(api.LoadKindService) {
		class.Kind = api.LoadKindService
		class.Name = record.Service + "/" + record.Operation
		class.Service, class.Operation = record.Service, record.Operation
		class.Idempotent = record.IdempotencyKey == ""
	}
	class.Name += " of " + record.Customer
	return class
}
