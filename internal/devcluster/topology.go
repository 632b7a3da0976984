package devcluster

import (
	"fmt"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
	"github.com/borageflow/borageflow/internal/standin/engine"
	"github.com/borageflow/borageflow/internal/standin/rating"
	"github.com/borageflow/borageflow/internal/standin/service"
)

var topologySchema = schemacheck.Embedded("dev")

// ParseTopology decodes the description of the stand-ins of borageflow dev
// (schema/dev.json). It returns schemacheck.Faults for a document that does not match.
func ParseTopology(raw []byte) (api.DevTopology, error) {
	var t api.DevTopology
	err := topologySchema.Decode(raw, &t)
	return t, err
}

// SpecFromTopology returns the deployment that a topology and a manifest describe.
func SpecFromTopology(t api.DevTopology, manifest []byte) Spec {
	spec := Spec{Region: t.Region, Manifest: manifest, Entries: t.Entries, Rating: &rating.Config{}}
	for _, group := range t.Engines {
		for range group.Count {
			spec.Engines = append(spec.Engines, Engine{
				Name:          fmt.Sprintf("engine-%d", len(spec.Engines)+1),
				FailureDomain: group.FailureDomain, Pool: group.Pool,
				Config: engine.Config{
					Versions: group.Versions, Slots: group.Slots, StepTime: durationFromMs(group.StepMs), Quality: t.Quality,
				},
			})
		}
	}
	for _, group := range t.Services {
		for range group.Count {
			spec.Services = append(spec.Services, Service{
				Name:          fmt.Sprintf("%s-%d", group.Service, len(spec.Services)+1),
				FailureDomain: group.FailureDomain, Service: group.Service,
				Config: service.Config{Latency: durationFromMs(group.LatencyMs)},
			})
		}
	}
	return spec
}

func durationFromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
