package cascade_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/borageflow/borageflow/internal/cascade"
	"github.com/borageflow/borageflow/internal/policybench"
)

// BenchmarkPlan times Planner.Plan for 3 to 37 candidate versions; 37 is the number of
// versions at the target size.
func BenchmarkPlan(b *testing.B) {
	for _, versions := range []int{3, 10, 37} {
		b.Run(fmt.Sprintf("versions=%d", versions), func(b *testing.B) {
			p := cascade.NewPlanner(cascade.Options{}, rand.New(rand.NewPCG(1, 1)))
			r := cascade.PlanRequest{Class: policyClass, PromptTokens: 300, MaxTokens: 400, Remaining: time.Minute}
			for i := range versions {
				name := fmt.Sprint("v", i)
				p.Estimator().SetPrior(name, 0.5+float64(i)/100, 20)
				r.Candidates = append(r.Candidates, cascade.Candidate{Version: name, CostPerKiloToken: float64(i + 1), FirstTokenMs: 50, TokenMs: 5})
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := p.Plan(policybench.Epoch, r); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}
