// Package loadgen sends an open-loop load to entries through the caller API and
// measures what callers see. Latencies count from the scheduled arrival, so a
// slow system cannot slow the load down and hide its own delays.
package loadgen

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

var planSchema = schemacheck.Embedded("loadplan")

// DecodePlan decodes and checks a plan. The error is schemacheck.Faults and
// names every fault.
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
			faults = append(faults, schemacheck.Fault{Path: path, Problem: "kind engine needs url"})
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
			Path: path, Problem: "kind service needs service and operation",
		})
	}
	return faults
}

// fromTrace turns the arrivals of a trace into classes and arrivals of a plan.
func fromTrace(plan *api.LoadPlan, records []api.TraceRecord) ([]arrival, error) {
	index := map[api.LoadClass]int{}
	var arrivals []arrival
	for _, record := range records {
		if record.Event != api.TraceEventArrival {
			continue
		}
		if _, ok := plan.Keys[record.Customer]; !ok {
			return nil, eris.Errorf("customer %q of the trace has no entry in keys", record.Customer)
		}
		class := classOf(record)
		at, ok := index[class]
		if !ok {
			at = len(plan.Classes)
			index[class] = at
			plan.Classes = append(plan.Classes, class)
		}
		arrivals = append(arrivals, arrival{
			at: microseconds(float64(record.At) / plan.Speed), class: at,
			prompt: record.PromptTokens, maxTokens: record.MaxTokens,
			prefix: record.Prefix, key: record.IdempotencyKey, session: record.Session,
		})
	}
	if len(arrivals) == 0 {
		return nil, eris.New("the trace has no arrivals")
	}
	return arrivals, nil
}

func classOf(record api.TraceRecord) api.LoadClass {
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
