package policybench

import (
	"math"
	"math/rand/v2"
	"time"
)

// ModelVersion describes a version of the cascade benchmark.
type ModelVersion struct {
	Name             string
	CostPerKiloToken float64
	PriorQuality     float64
	PriorWeight      float64
	FirstTokenMs     float64
	TokenMs          float64
	// Skill is the difficulty at which half of the answers are good.
	Skill float64
}

// QualityTrace describes a generated trace of requests of one class.
type QualityTrace struct {
	Seed     uint64
	Requests int
	// RequestsPerSecond is the rate of Poisson arrivals.
	RequestsPerSecond float64
	Versions          []ModelVersion
	// ConfidenceNoise is the standard deviation of the stated confidence around
	// ConfidenceFloor + (1-ConfidenceFloor) x the probability of a good answer.
	ConfidenceNoise float64
	ConfidenceFloor float64
	// DriftAt is the first request after which DriftVersion's skill is changed
	// by DriftSkill while its stated confidence stays as it was; 0 means none.
	DriftAt      int
	DriftVersion string
	DriftSkill   float64
}

// DefaultQualityTrace returns the trace of the published policy benchmark.
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

// VersionAnswer is what a version would answer to one request.
type VersionAnswer struct {
	Good       bool
	Confidence float64
	// Score is the rating service's score without bias.
	Score float64
}

// QualityRequest is one request of a quality trace.
type QualityRequest struct {
	// At is the time since the start.
	At           time.Duration
	PromptTokens int
	OutputTokens int
	// Answers has one entry per version of the trace.
	Answers []VersionAnswer
}

// QualityMaxTokens bounds the answers of a quality trace.
const QualityMaxTokens = 400

// skillSlope is the steepness of the share of good answers around the skill.
const skillSlope = 2.2

// Generate returns the requests of a trace in order of time.
func (q QualityTrace) Generate() []QualityRequest {
	rng := rand.New(rand.NewPCG(q.Seed, 3)) //nolint:gosec // a reproducible trace
	out := make([]QualityRequest, q.Requests)
	at := time.Duration(0)
	for i := range out {
		at += time.Duration(rng.ExpFloat64() / q.RequestsPerSecond * float64(time.Second))
		difficulty := rng.NormFloat64()
		r := QualityRequest{At: at, PromptTokens: 100 + rng.IntN(400), OutputTokens: 40 + rng.IntN(200)}
		for _, v := range q.Versions {
			r.Answers = append(r.Answers, q.answer(rng, i, v, difficulty))
		}
		out[i] = r
	}
	return out
}

func (q QualityTrace) answer(rng *rand.Rand, i int, v ModelVersion, difficulty float64) VersionAnswer {
	stated := logistic(skillSlope * (v.Skill - difficulty))
	actual := stated
	if q.DriftAt > 0 && i >= q.DriftAt && v.Name == q.DriftVersion {
		actual = logistic(skillSlope * (v.Skill + q.DriftSkill - difficulty))
	}
	good := rng.Float64() < actual
	confidence := q.ConfidenceFloor + (1-q.ConfidenceFloor)*stated + q.ConfidenceNoise*rng.NormFloat64()
	return VersionAnswer{Good: good, Confidence: unit(confidence), Score: score(rng, good)}
}

// score spreads the scores of good and bad answers so that they overlap.
func score(rng *rand.Rand, good bool) float64 {
	if good {
		return 0.85 + 0.1*rng.NormFloat64()
	}
	return 0.25 + 0.12*rng.NormFloat64()
}

func logistic(x float64) float64 { return 1 / (1 + math.Exp(-x)) }

func unit(x float64) float64 { return min(max(x, 0), 1) }
