package burn

import (
	"time"

	"github.com/borageflow/borageflow/api"
)

// Verdict says what an objective's burn rates call for.
type Verdict string

// Verdicts, from good to bad.
const (
	VerdictOK     Verdict = "ok"
	VerdictTicket Verdict = "ticket"
	VerdictPage   Verdict = "page"
)

// minBad is the number of bad requests in the long window that an alert needs:
// in a class with few requests a single one exceeds every burn rate.
const minBad = 2

// Rule alerts when both windows burn faster than Burn. The long window shows
// that the loss matters, the short one that it goes on.
type Rule struct {
	Verdict     Verdict
	Long, Short time.Duration
	Burn        float64
}

// Rules are the alert rules, worst first. With a budget for 30 days, the burn
// rates use up 2% of it in 1 h, 5% in 6 h and 10% in 3 d.
var Rules = []Rule{
	{VerdictPage, time.Hour, 5 * time.Minute, 14.4},
	{VerdictPage, 6 * time.Hour, 30 * time.Minute, 6},
	{VerdictTicket, 72 * time.Hour, 6 * time.Hour, 1},
}

// Judge returns the verdict on one objective and the rule behind it; the rule of
// VerdictOK is empty.
func Judge(status api.ObjectiveStatus) (Verdict, Rule) {
	for _, rule := range Rules {
		long, short := find(status, rule.Long), find(status, rule.Short)
		if long.Total-long.Good >= minBad && long.Burn >= rule.Burn && short.Burn >= rule.Burn {
			return rule.Verdict, rule
		}
	}
	return VerdictOK, Rule{}
}

func find(status api.ObjectiveStatus, window time.Duration) api.BurnWindow {
	for _, w := range status.Windows {
		if w.Seconds == int(window.Seconds()) {
			return w
		}
	}
	return api.BurnWindow{}
}
