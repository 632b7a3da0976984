package routing

// waitMemory is the number of answers that the wait model averages.
const waitMemory = 500

// Scale of one pseudo-observation of the defaults, which keeps the model
// determined while measurements are few or all alike.
const (
	priorTokens = 1000
	priorLoad   = 1
)

// waitModel learns the time to first token as
//
//	tokenMs x uncached prompt tokens + loadMs x load per slot
//
// by least squares with forgetting. Both inputs are multiplied by the server's
// relative slowness beforehand.
type waitModel struct {
	tokenMs, loadMs             float64
	priorTokenMs, priorLoadMs   float64
	tokens2, cross, load2       float64
	tokensByWait, loadByWait    float64
	tokensInPrior, loadsInPrior float64
}

func newWaitModel(tokenMs, loadMs float64) waitModel {
	return waitModel{
		tokenMs: tokenMs, loadMs: loadMs, priorTokenMs: tokenMs, priorLoadMs: loadMs,
		tokensInPrior: priorTokens * priorTokens, loadsInPrior: priorLoad * priorLoad,
	}
}

// observe records the time to first token of one answer.
func (m *waitModel) observe(tokens, load, waitMs float64) {
	const keep = 1 - 1.0/waitMemory
	m.tokens2 = m.tokens2*keep + tokens*tokens
	m.cross = m.cross*keep + tokens*load
	m.load2 = m.load2*keep + load*load
	m.tokensByWait = m.tokensByWait*keep + tokens*waitMs
	m.loadByWait = m.loadByWait*keep + load*waitMs
	m.solve()
}

// solve sets the coefficients; a negative one is replaced by 0.
func (m *waitModel) solve() {
	a, b := m.tokens2+m.tokensInPrior, m.load2+m.loadsInPrior
	x := m.tokensByWait + m.tokensInPrior*m.priorTokenMs
	y := m.loadByWait + m.loadsInPrior*m.priorLoadMs
	determinant := a*b - m.cross*m.cross
	m.tokenMs = max((b*x-m.cross*y)/determinant, 0)
	m.loadMs = max((a*y-m.cross*x)/determinant, 0)
}
