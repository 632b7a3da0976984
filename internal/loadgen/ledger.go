package loadgen

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/standin/base"
)

// ledgers is how often each request ran, over all stand-ins.
type ledgers struct {
	read int
	runs map[string]int
}

func readLedgers(ctx context.Context, client *http.Client, urls []string) (ledgers, error) {
	all := ledgers{runs: map[string]int{}}
	for _, url := range urls {
		view, err := readLedger(ctx, client, strings.TrimSuffix(url, "/"))
		if err != nil {
			return ledgers{}, err
		}
		if view.Dropped > 0 {
			return ledgers{}, eris.Errorf("ledger of %s is incomplete: %d entries dropped", url, view.Dropped)
		}
		for _, run := range view.Runs {
			all.runs[run.Body]++
		}
		all.read++
	}
	return all, nil
}

func readLedger(ctx context.Context, client *http.Client, url string) (base.LedgerView, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/standin/ledger", http.NoBody)
	if err != nil {
		return base.LedgerView{}, eris.Wrapf(err, "ledger of %s cannot be asked for", url)
	}
	response, err := client.Do(request)
	if err != nil {
		return base.LedgerView{}, eris.Wrapf(err, "ledger of %s cannot be read", url)
	}
	defer func() { _ = response.Body.Close() }()
	var view base.LedgerView
	if err := json.NewDecoder(response.Body).Decode(&view); err != nil {
		return base.LedgerView{}, eris.Wrapf(err, "ledger of %s is not valid", url)
	}
	return view, nil
}
