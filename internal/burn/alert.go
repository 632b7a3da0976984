package burn

import (
	"time"

	"github.com/borageflow/borageflow/api"
)

// Verdict is the alert level of an objective.
type Verdict string

// Verdicts in order of severity: no alert, a ticket, a page to the operator on call.
const (
	VerdictOK     Verdict = "ok"
	VerdictTicket Verdict = "ticket"
	VerdictPage   Verdict = "page"
)

// minBadRequests is the number of bad requests in the long window below which no rule
// fires: in a class with few requests, a single bad one exceeds every burn rate.
const minBadRequests = 2

// Rule fires when the burn rates of both windows reach MinBurnRate. The long window
// shows that the loss is significant, the short one that it is still going on.
type Rule struct {
	Verdict                 Verdict
	LongWindow, ShortWindow time.Duration
	MinBurnRate             float64
}

// Rules lists the alert rules, most severe first. The burn rates use up 2% of a 30-day
// error budget in 1 h, 5% in 6 h and 10% in 3 d.
var Rules = []Rule{
	{VerdictPage, time.Hour, 5 * time.Minute, 14.4},
	{VerdictPage, 6 * time.Hour, 30 * time.Minute, 6},
	{VerdictTicket, 72 * time.Hour, 6 * time.Hour, 1},
}

// EvaluateRules returns the verdict on an objective and the first rule that fires. With
// VerdictOK the rule is empty.
func EvaluateRules(status api.ObjectiveStatus) (Verdict, Rule) {
	for _, rule := range Rules {
		long, short := findWindow(status, rule.LongWindow), findWindow(status, rule.ShortWindow)
		if long.Total-long.Good >= minBadRequests && long.Burn >= rule.MinBurnRate && short.Burn >= rule.MinBurnRate {
			return rule.Verdict, rule
		}
	}
	return VerdictOK, Rule{}
}

// findWindow returns the counts of a window, or zeros when the status does not have it.
func findWindow(status api.ObjectiveStatus, window time.Duration) api.BurnWindow {
	for _, w := range status.Windows {
		if w.Seconds == int(window.Seconds()) {
			return w
		}
	}
	return api.BurnWindow{}
}
