package admission

import (
	"time"
)

// send puts a request at the less loaded of two workers.
func (m *model) send(r *modelRequest) {
	a, b := m.rng.IntN(modelWorkers), m.rng.IntN(modelWorkers)
	if m.loads[b] < m.loads[a] {
		a = b
	}
	r.remaining = r.Work
	m.workers[a] = append(m.workers[a], r)
	m.loads[a] += r.Work
	m.sent[r.gateway] += r.Work
}

// work lets the workers work for a step.
func (m *model) work(now time.Time) {
	for w := range m.workers {
		budget := workerSpeed * modelStep.Seconds()
		for budget > 0 && len(m.workers[w]) > 0 {
			r := m.workers[w][0]
			done := min(budget, r.remaining)
			r.remaining -= done
			budget -= done
			m.loads[w] -= done
			if r.remaining <= 1e-9 {
				m.workers[w] = m.workers[w][1:]
				m.sent[r.gateway] -= r.Work
				m.heard[r.gateway] += heardGain * (m.loads[w] - m.heard[r.gateway])
				m.queues[r.gateway].Begun(now, r.id)
				m.answer(now, r)
			}
		}
	}
}

func (m *model) answer(now time.Time, r *modelRequest) {
	took := now.Sub(r.first)
	if !m.counts(r) || took > m.limitOf(r) {
		return
	}
	for _, g := range r.groups() {
		result := m.result(g)
		if took <= r.Target {
			result.withinTarget++
			result.workWithinTarget += r.Work
		} else {
			result.late++
		}
	}
}
