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

// stopTimeout bounds the graceful stop of one daemon in a test.
const stopTimeout = 20 * time.Second

var (
	exportedName   = regexp.MustCompile(`(?m)^(borageflow_[a-z_]+)`)
	documentedName = regexp.MustCompile("(?m)^\\| `(borageflow_[a-z_]+)")
	ringLabel      = regexp.MustCompile(`ring="([a-z_]+)"`)
)

// Guards against a metric that operators see on /metrics and find on no page, and
// against a page that names one which no daemon exports.
func TestEveryMetricIsDocumented(t *testing.T) {
	exported := exportedMetrics(t)
	page, err := os.ReadFile("operators/metrics.md")
	assert.NilError(t, err)
	assert.DeepEqual(t, names(documentedName, page), names(exportedName, exported))
	for _, ring := range names(ringLabel, exported) {
		assert.Assert(t, regexp.MustCompile("(?m)^\\| `"+ring+"` \\|").Match(page), "ring %s is not documented", ring)
	}
}

// names returns the distinct first groups of all matches in order.
func names(pattern *regexp.Regexp, text []byte) []string {
	var out []string
	for _, match := range pattern.FindAllSubmatch(text, -1) {
		out = append(out, string(match[1]))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// exportedMetrics returns what an entry and a sidecar serve on /metrics.
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
		all = append(all, fetch(t, "http://"+settings.Listen.Health+"/metrics")...)
	}
	return all
}

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

func fetch(t *testing.T, url string) []byte {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return raw
}
