package policybench

import (
	"math"
	"math/rand/v2"
	"time"
)

// ModelVersion describes a model version of the cascade benchmark: its cost, the planner's
// prior and its times.
type ModelVersion struct {
	Name             string
	CostPerKiloToken float64
	PriorQuality     float64
	PriorWeight      float64
	FirstTokenMs     float64
	TokenMs          float64
	// Skill is the difficulty of the requests at which half of the answers are good.
	Skill float64
}

// QualityTrace describes a generated trace of requests of one class, with the answers that each
// version would give.
type QualityTrace struct {
	Seed     uint64
	Requests int
	// RequestsPerSecond is the mean rate of Poisson arrivals.
	RequestsPerSecond float64
	Versions          []ModelVersion
	// ConfidenceNoise is the standard deviation of the stated confidence around
	// ConfidenceFloor + (1-ConfidenceFloor) x the probability of a good answer.
	ConfidenceNoise float64
	ConfidenceFloor float64
	// DriftAt is the index of the request from which DriftSkill is added to the skill
	// of DriftVersion, while its stated confidence does not change; 0 means no drift.
	DriftAt      int
	DriftVersion string
	DriftSkill   float64
}

// DefaultQualityTrace returns the trace of the policy benchmark, with a small, a medium and a
// large version.
func DefaultQualityTrace(seed uint64, requests int) QualityTrace {
	return QualityTrace{
		Seed: seed, Requests: requests, RequestsPerSecond: 5,
		Versions: []ModelVersion{
			{Name: "small", CostPerKiloToken: 1, PriorQuality: 0.7, PriorWeight: 2, FirstTokenMs: 60, TokenMs: 5, Skill: 0.8},
			{Name: "medium", CostPerKiloToken: 4, PriorQuality: 0.85, PriorWeight: 2, FirstTokenMs: 120, TokenMs: 12, Skill: 1.5},
			{Name: "large", CostPerKiloToken: 12, PriorQuality: 0.95, PriorWeight: 10, FirstTokenMs: 250, TokenMs: 25, Skill: 2.4},
		},
		ConfidenceNoise: 0.12, ConfidenceFloor: 0.2,
	}
}

// VersionAnswer is the simulated answer of a version to one request.
type VersionAnswer struct {
	Good       bool
	Confidence float64
	// Score is the score of the rating service, before bias.
	Score float64
}

// QualityRequest is one request of a quality trace.
type QualityRequest struct {
	// At is the time since the start of the run.
	At           time.Duration
	PromptTokens int
	OutputTokens int
	// Answers has one entry per version of the trace.
	Answers []VersionAnswer
}

// QualityMaxTokens is the maximum number of output tokens of a request of a quality trace.
const QualityMaxTokens = 400

// skillSlope is the slope of the logistic function from skill minus difficulty to the
// probability of a good answer.
const skillSlope = 2.2

// Generate returns the requests in order of time. They depend only on q, including its seed.
func (q QualityTrace) Generate() []QualityRequest {
	rng := rand.New(rand.NewPCG(q.Seed, 3)) //nolint:gosec // a reproducible trace
	out := make([]QualityRequest, q.Requests)
	at := time.Duration(0)
	for i := range out {
		at += time.Duration(rng.ExpFloat64() / q.RequestsPerSecond * float64(time.Second))
		difficulty := rng.NormFloat64()
		r := QualityRequest{At: at, PromptTokens: 100 + rng.IntN(400), OutputTokens: 40 + rng.IntN(200)}
		for _, v := range q.Versions {
			r.Answers = append(r.Answers, q.sampleAnswer(rng, i, v, difficulty))
		}
		out[i] = r
	}
	return out
}

func (q QualityTrace) sampleAnswer(rng *rand.Rand, i int, v ModelVersion, difficulty float64) VersionAnswer {
	stated := logistic(skillSlope * (v.Skill - difficulty))
	actual := stated
	if q.DriftAt > 0 && i >= q.DriftAt && v.Name == q.DriftVersion {
		actual = logistic(skillSlope * (v.Skill + q.DriftSkill - difficulty))
	}
	good := rng.Float64() < actual
	confidence := q.ConfidenceFloor + (1-q.ConfidenceFloor)*stated + q.ConfidenceNoise*rng.NormFloat64()
	return VersionAnswer{Good: good, Confidence: clampToUnit(confidence), Score: sampleScore(rng, good)}
}

// sampleScore returns a random score. The distributions for good and bad answers overlap.
func sampleScore(rng *rand.Rand, good bool) float64 {
	if good {
		return 0.85 + 0.1*rng.NormFloat64()
	}
	return 0.25 + 0.12*rng.NormFloat64()
}

func logistic(x float64) float64 { return 1 / (1 + math.Exp(-x)) }

func clampToUnit(x float64) float64 { return min(max(x, 0), 1) }
