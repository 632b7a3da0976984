package docs

import (
	"context"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/daemon"
	"github.com/borageflow/borageflow/internal/devcluster"
	"github.com/borageflow/borageflow/internal/standin/engine"
)

// stopTimeout limits the graceful stop of a daemon.
const stopTimeout = 20 * time.Second

var (
	exportedMetricPattern   = regexp.MustCompile(`(?m)^(borageflow_[a-z_]+)`)
	documentedMetricPattern = regexp.MustCompile("(?m)^\\| `(borageflow_[a-z_]+)")
	ringLabelPattern        = regexp.MustCompile(`ring="([a-z_]+)"`)
)

// Guards against a metric on /metrics that metrics.md does not document, and against a
// documented metric that no daemon exports.
func TestEveryMetricIsDocumented(t *testing.T) {
	exported := exportedMetrics(t)
	page, err := os.ReadFile("operators/metrics.md")
	assert.NilError(t, err)
	assert.DeepEqual(t, distinctMatches(documentedMetricPattern, page), distinctMatches(exportedMetricPattern, exported))
	for _, ring := range distinctMatches(ringLabelPattern, exported) {
		assert.Assert(t, regexp.MustCompile("(?m)^\\| `"+ring+"` \\|").Match(page), "ring %s is not documented", ring)
	}
}

// distinctMatches returns the first groups of all matches, sorted and without duplicates.
func distinctMatches(pattern *regexp.Regexp, text []byte) []string {
	var out []string
	for _, match := range pattern.FindAllSubmatch(text, -1) {
		out = append(out, string(match[1]))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// exportedMetrics returns the /metrics output of an entry and of a sidecar.
func exportedMetrics(t *testing.T) []byte {
	t.Helper()
	raw, err := os.ReadFile("../cmd/borageflow/demo/manifest.json")
	assert.NilError(t, err)
	subnet, err := devcluster.FreeSubnet(os.Getpid())
	assert.NilError(t, err)
	cluster, err := devcluster.Start(devcluster.Spec{
		Subnet: [2]byte{subnet, 0}, Region: "r", Manifest: raw, Entries: []string{"fd-a"},
		Engines: []devcluster.Engine{{
			Name: "engine-1", FailureDomain: "fd-a", Pool: "models",
			Config: engine.Config{Versions: []string{"small-1", "large-1"}},
		}},
		Timing: api.TimingSettings{BalancerWaitMs: 1},
	})
	assert.NilError(t, err)
	t.Cleanup(cluster.Close)
	var all []byte
	for _, settings := range cluster.Settings {
		startDaemon(t, settings)
		all = append(all, httpGet(t, "http://"+settings.Listen.Health+"/metrics")...)
	}
	return all
}

// startDaemon starts a daemon and stops it at the end of the test.
func startDaemon(t *testing.T, settings api.Settings) {
	t.Helper()
	filled, err := daemon.FillDefaults(settings)
	assert.NilError(t, err)
	app := daemon.New(filled, zap.NewNop())
	assert.NilError(t, app.Start(t.Context()))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		assert.Check(t, app.Stop(ctx))
	})
}

// httpGet returns the body of a response, whatever its status.
func httpGet(t *testing.T, url string) []byte {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return raw
}
