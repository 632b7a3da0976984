package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/borageflow/borageflow/internal/admission"
	"github.com/borageflow/borageflow/internal/forward"
)

// Explanation is where a request would go now, and why, served at /explain. Times are in milliseconds and
// loads in requests.
type Explanation struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failureDomain"`
	ConfigVersion int64  `json:"config"`
	Route         string `json:"route"`
	Customer      string `json:"customer,omitempty"`
	Priority      int    `json:"priority"`
	// Service is the service that was looked at, and Splits the services of the route with their weights.
	Service string          `json:"service"`
	Splits  []forward.Split `json:"splits"`
	// Admission is empty where requests are not held back.
	Admission *ExplainedAdmission `json:"admission,omitempty"`
	// Worker is empty if no worker may get the request; Reason then states why.
	Worker       string `json:"worker,omitempty"`
	Reason       string `json:"reason,omitempty"`
	CachedTokens int    `json:"cachedTokens"`
	// LeftFor is why the worker is in another failure domain.
	LeftFor string `json:"leftFor,omitempty"`
	// MaxAttempts is the number of workers that may run the request, RetryLeft whether the budget holds a
	// retry, and NextModel the larger model that would be asked for an answer of low confidence.
	MaxAttempts int    `json:"maxAttempts"`
	RetryLeft   bool   `json:"retryLeft"`
	NextModel   string `json:"nextModel,omitempty"`

	Candidates []ExplainedWorker            `json:"candidates"`
	Excluded   map[string]forward.Exclusion `json:"excluded,omitempty"`
}

// ExplainedAdmission is what admission would decide from.
type ExplainedAdmission struct {
	// Outcome is run, or wait for a request that waits or is refused.
	Outcome    string `json:"outcome"`
	RoomWaitMs int64  `json:"roomWaitMs"`
	RoomAgeMs  int64  `json:"roomAgeMs"`
	Queued     int    `json:"queued"`
}

// ExplainedWorker is a worker that may get the request, with the parts of its score.
type ExplainedWorker struct {
	Worker        string  `json:"worker"`
	FailureDomain string  `json:"failureDomain"`
	Version       string  `json:"version"`
	Score         float64 `json:"score"`
	Load          float64 `json:"load"`
	// LoadAgeMs is negative without a report.
	LoadAgeMs int64   `json:"loadAgeMs"`
	Failures  float64 `json:"failures"`
	OtherPool float64 `json:"otherPool"`
	// Work is the work of the request; it counts only where workers state their pace.
	Work         float64 `json:"work,omitempty"`
	Slowness     float64 `json:"slowness,omitempty"`
	Capacity     float64 `json:"capacity"`
	Leaving      float64 `json:"leaving"`
	Share        float64 `json:"share"`
	CachedTokens int     `json:"cachedTokens"`
}

// serveExplain responds with where a request would go now. It sends and counts nothing.
func (g *Gateway) serveExplain(w http.ResponseWriter, req *http.Request) {
	if ok, reason := g.dispatcher.isReady(sinceBoot()); !ok {
		http.Error(w, "gateway is not ready: "+reason, http.StatusServiceUnavailable)
		return
	}
	r, problem := g.askedRequest(req)
	if problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.explain(r)); err != nil {
		g.log.Warn("response to an operator's question was not sent", zap.Error(err))
	}
}

// askedRequest returns the request that an operator asks about, or what is wrong with the question.
func (g *Gateway) askedRequest(req *http.Request) (*request, string) {
	query, config := req.URL.Query(), g.dispatcher.snapshot.Load().config
	r := &request{gateway: g, started: time.Now()}
	for i := range config.Routes {
		if config.Routes[i].Name == query.Get("route") {
			r.route = &config.Routes[i]
		}
	}
	if r.route == nil {
		return nil, "route " + strconv.Quote(query.Get("route")) + " is not in the configuration"
	}
	if name := query.Get("customer"); name != "" {
		found := false
		for _, c := range config.Customers {
			if c.Name == name {
				r.customer, found = c, true
			}
		}
		if !found {
			return nil, "customer " + strconv.Quote(name) + " is not in the configuration"
		}
	}
	limit, err := time.ParseDuration(query.Get("deadline"))
	if err != nil && query.Get("deadline") != "" {
		return nil, "deadline is not a duration such as 5s"
	}
	r.deadline = r.started.Add(requestTimeout(limit, r.route.Timeout))
	r.inbound.meta = forward.RequestMeta{RequestID: query.Get("request"), Session: query.Get("session"), Prompt: parsePromptParts(query.Get("prompt"))}
	if r.routerPicksModel = query.Get("model") == ""; !r.routerPicksModel {
		r.inbound.meta.Model = query.Get("model")
	}
	r.service = query.Get("service")
	for _, s := range r.route.Splits {
		if r.service == "" || r.service == s.Service {
			r.service = s.Service
			return r, ""
		}
	}
	return nil, "service " + strconv.Quote(r.service) + " is not one of the route's"
}

// explain returns where a request would go now.
func (g *Gateway) explain(r *request) Explanation {
	out := Explanation{
		Instance: g.settings.Instance, FailureDomain: g.settings.FailureDomain, ConfigVersion: g.dispatcher.snapshot.Load().config.Version,
		Route: r.route.Name, Customer: r.customer.Name, Priority: forward.Priority(r.route, r.customer), Service: r.service, Splits: r.route.Splits,
		MaxAttempts: r.route.MaxAttempts, RetryLeft: g.dispatcher.hasRetryBudget(r.service), Candidates: []ExplainedWorker{},
	}
	if r.routerPicksModel && len(r.route.Models) > 1 {
		out.NextModel = r.route.Models[1]
	}
	if d, ok := g.admission.foresee(r); ok {
		out.Admission = &ExplainedAdmission{d.Action.String(), d.RoomWait.Milliseconds(), d.RoomAge.Milliseconds(), d.Queued}
	}
	e := g.dispatcher.explain(sinceBoot(), r.workerQuery(), r.inbound.meta.Session, r.inbound.meta.RequestID)
	if e.Found {
		out.Worker, out.CachedTokens, out.LeftFor = e.Worker.ID, e.CachedTokens, string(e.LeftFor)
	} else {
		out.Reason = "no worker of the service may get the request"
	}
	for i := range e.Candidates {
		c := &e.Candidates[i]
		out.Candidates = append(out.Candidates, ExplainedWorker{
			c.Worker.ID, c.Worker.FailureDomain, c.Worker.Version, c.Total(), c.Load, c.LoadAge.Milliseconds(), c.Failures + c.PeerFailures, c.OtherPool, c.Work,
			c.Slowness, c.Capacity, c.Leaving, c.Share, c.CachedTokens,
		})
	}
	if len(e.Excluded) > 0 {
		out.Excluded = map[string]forward.Exclusion{}
	}
	for _, x := range e.Excluded {
		out.Excluded[x.Worker.ID] = x.Rule
	}
	return out
}

// explain returns the explanation of a choice as pickWorker makes it.
func (d *dispatcher) explain(now time.Duration, q forward.WorkerQuery, session, requestID string) forward.Explanation {
	d.mu.Lock()
	defer d.mu.Unlock()
	rng := rand.New(rand.NewPCG(uint64(now), 1)) //nolint:gosec // the questions must not change the random numbers of the requests
	filter := d.rollouts.chooseVersion(now, q.Service, session, requestID, false)
	q.Bytes += int(d.extraBytes[q.Route])
	q.Allowed, q.IsPinned = filter.allowed, filter.isPinned
	e := d.placer.Explain(now, q, rng)
	if !e.Found && filter.fallback != nil && !d.mustWait(now, q, session) {
		q.Allowed = filter.fallback
		e = d.placer.Explain(now, q, rng)
	}
	return e
}

// foresee returns what admission would decide about a request, or false where requests are not held back.
func (g *admissionGuard) foresee(r *request) (admission.Decision, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[r.service]
	if s == nil {
		return admission.Decision{}, false
	}
	return s.queue.Foresee(time.Now(), r.admissionRequest()), true
}
