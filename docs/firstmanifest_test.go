package docs

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/adminclient"
	"github.com/borageflow/borageflow/internal/devcluster"
)

// manifestApplyTimeout is the longest time from the commit of a manifest until it is in
// force.
const manifestApplyTimeout = 3 * time.Second

// Guards against a deployment that cannot get its first manifest as described in
// install.md: an entry without a manifest accepts one from an operator that the manifest
// itself lists, and puts it in force.
func TestOperatorCommitsFirstManifest(t *testing.T) {
	subnet, err := devcluster.FreeSubnet(os.Getpid())
	assert.NilError(t, err)
	cluster, err := devcluster.Start(devcluster.Spec{
		Subnet: [2]byte{subnet, 0}, Region: "r", Entries: []string{"fd-a"}, Timing: api.TimingSettings{BalancerWaitMs: 1},
	})
	assert.NilError(t, err)
	t.Cleanup(cluster.Close)
	settings := cluster.Settings[0]
	startDaemon(t, settings)

	client, err := adminclient.New(adminclient.Options{URL: "http://" + settings.Listen.Admin, Key: "operator-key"})
	assert.NilError(t, err)
	_, err = client.Manifest(t.Context())
	assert.ErrorContains(t, err, "not_ready")
	raw, err := os.ReadFile("../cmd/borageflow/demo/manifest.json")
	assert.NilError(t, err)
	revision, err := client.Commit(t.Context(), raw, api.Revision{})
	assert.NilError(t, err)
	assert.Equal(t, revision, api.Revision{Generation: 1, Version: 1})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		m, err := client.Manifest(t.Context())
		if err == nil && m.Revision == revision {
			return poll.Success()
		}
		return poll.Continue("manifest in force: %v, %v", m.Revision, err)
	}, poll.WithTimeout(manifestApplyTimeout))
}
