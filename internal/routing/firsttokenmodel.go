package routing

// averagingWindow is the number of answers after which the weight of an
// observation has fallen to 1/e.
const averagingWindow = 500

// The inputs of two pseudo-observations with the default coefficients. They keep
// the least squares solvable while there are few observations or all have the
// same inputs.
const (
	priorTokens = 1000 // uncached prompt tokens
	priorLoad   = 1    // requests per slot
)

// firstTokenModel predicts the time to first token in milliseconds as
//
//	msPerToken * uncached prompt tokens + msPerLoad * load per slot
//
// It fits the coefficients by least squares with exponential forgetting. The
// caller multiplies both inputs by the relative token time of the server.
type firstTokenModel struct {
	msPerToken, msPerLoad                           float64
	priorMsPerToken, priorMsPerLoad                 float64
	sumTokensSquared, sumTokensLoad, sumLoadSquared float64
	sumTokensTime, sumLoadTime                      float64
	priorTokensSquared, priorLoadSquared            float64
}

func newFirstTokenModel(msPerToken, msPerLoad float64) firstTokenModel {
	return firstTokenModel{
		msPerToken: msPerToken, msPerLoad: msPerLoad, priorMsPerToken: msPerToken, priorMsPerLoad: msPerLoad,
		priorTokensSquared: priorTokens * priorTokens, priorLoadSquared: priorLoad * priorLoad,
	}
}

// observe adds the time to first token of one answer and updates the coefficients.
func (m *firstTokenModel) observe(tokens, load, firstTokenMs float64) {
	const decay = 1 - 1.0/averagingWindow
	m.sumTokensSquared = m.sumTokensSquared*decay + tokens*tokens
	m.sumTokensLoad = m.sumTokensLoad*decay + tokens*load
	m.sumLoadSquared = m.sumLoadSquared*decay + load*load
	m.sumTokensTime = m.sumTokensTime*decay + tokens*firstTokenMs
	m.sumLoadTime = m.sumLoadTime*decay + load*firstTokenMs
	m.solve()
}

// solve sets the coefficients from the sums. A negative coefficient becomes 0.
func (m *firstTokenModel) solve() {
	a, b := m.sumTokensSquared+m.priorTokensSquared, m.sumLoadSquared+m.priorLoadSquared
	x := m.sumTokensTime + m.priorTokensSquared*m.priorMsPerToken
	y := m.sumLoadTime + m.priorLoadSquared*m.priorMsPerLoad
	determinant := a*b - m.sumTokensLoad*m.sumTokensLoad
	m.msPerToken = max((b*x-m.sumTokensLoad*y)/determinant, 0)
	m.msPerLoad = max((a*y-m.sumTokensLoad*x)/determinant, 0)
}
