package docs

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/adminclient"
	"github.com/borageflow/borageflow/internal/devcluster"
)

// inForceLimit is the time within which an accepted manifest is in force.
const inForceLimit = 3 * time.Second

// Guards against a deployment that cannot get its first manifest as install.md
// says, and against a key that keeps its access after it.
func TestFirstManifestIsCommittedWithAnyKey(t *testing.T) {
	subnet, err := devcluster.FreeSubnet(os.Getpid())
	assert.NilError(t, err)
	cluster, err := devcluster.Start(devcluster.Spec{
		Subnet: [2]byte{subnet, 0}, Region: "r", Entries: []string{"fd-a"}, Timing: api.TimingSettings{BalancerWaitMs: 1},
	})
	assert.NilError(t, err)
	t.Cleanup(cluster.Close)
	settings := cluster.Settings[0]
	startDaemon(t, settings)

	client, err := adminclient.New(adminclient.Options{URL: "http://" + settings.Listen.Admin, Key: "first"})
	assert.NilError(t, err)
	_, err = client.Manifest(t.Context())
	assert.ErrorContains(t, err, "not_ready")
	raw, err := os.ReadFile("../cmd/borageflow/demo/manifest.json")
	assert.NilError(t, err)
	revision, err := client.Commit(t.Context(), raw, api.Revision{})
	assert.NilError(t, err)
	assert.Equal(t, revision, api.Revision{Generation: 1, Version: 1})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := client.Manifest(t.Context())
		if err != nil && strings.Contains(err.Error(), "operator key is unknown") {
			return poll.Success()
		}
		return poll.Continue("first key: %v", err)
	}, poll.WithTimeout(inForceLimit))
}
