package loadgen

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/standin/base"
)

// maxLedgerBytes bounds the ledger of one stand-in, about 100 bytes a request.
const maxLedgerBytes = 256 << 20

// ledgerRuns holds the number of runs by request digest, summed over the ledgers of all
// stand-ins.
type ledgerRuns struct {
	ledgerCount  int
	runsByDigest map[string]int
}

func readLedgers(ctx context.Context, client *http.Client, urls []string) (ledgerRuns, error) {
	all := ledgerRuns{runsByDigest: map[string]int{}}
	for _, url := range urls {
		snapshot, err := readLedger(ctx, client, strings.TrimSuffix(url, "/"))
		if err != nil {
			return ledgerRuns{}, err
		}
		if snapshot.Dropped > 0 {
			return ledgerRuns{}, eris.Errorf("ledger of %s is incomplete: it dropped %d entries", url, snapshot.Dropped)
		}
		for _, run := range snapshot.Runs {
			all.runsByDigest[run.BodyDigest]++
		}
		all.ledgerCount++
	}
	return all, nil
}

func readLedger(ctx context.Context, client *http.Client, url string) (base.LedgerSnapshot, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/standin/ledger", http.NoBody)
	if err != nil {
		return base.LedgerSnapshot{}, eris.Wrapf(err, "ledger of %s cannot be requested", url)
	}
	response, err := client.Do(request)
	if err != nil {
		return base.LedgerSnapshot{}, eris.Wrapf(err, "ledger of %s cannot be read", url)
	}
	defer func() { _ = response.Body.Close() }()
	var snapshot base.LedgerSnapshot
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLedgerBytes)).Decode(&snapshot); err != nil {
		return base.LedgerSnapshot{}, eris.Wrapf(err, "ledger of %s is not valid JSON", url)
	}
	return snapshot, nil
}
