package main

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/adminclient"
)

// Environment variables of the commands that call the administration API.
const (
	adminURLVariable = "BORAGEFLOW_ADMIN"
	adminKeyVariable = "BORAGEFLOW_KEY"
)

// adminFlags are shared by the commands that call the administration API.
type adminFlags struct {
	url, keyFile, caFile string
}

func (f *adminFlags) add(sub *flaggy.Subcommand) {
	sub.String(&f.url, "a", "admin", "URL of an entry's administration API; default $"+adminURLVariable+".")
	sub.String(&f.keyFile, "k", "key-file", "File of the operator key; default $"+adminKeyVariable+".")
	sub.String(&f.caFile, "", "ca-file", "PEM file that verifies the entry's certificate.")
}

func (f *adminFlags) client() (*adminclient.Client, error) {
	url := f.url
	if url == "" {
		url = os.Getenv(adminURLVariable)
	}
	if url == "" {
		return nil, usageError{"--admin or $" + adminURLVariable + " is required"}
	}
	key := os.Getenv(adminKeyVariable)
	if f.keyFile != "" {
		raw, err := os.ReadFile(f.keyFile)
		if err != nil {
			return nil, eris.Wrapf(err, "key file %s cannot be read", f.keyFile)
		}
		key = strings.TrimSpace(string(raw))
	}
	if key == "" {
		return nil, usageError{"--key-file or $" + adminKeyVariable + " is required"}
	}
	return adminclient.New(adminclient.Options{URL: strings.TrimSuffix(url, "/"), Key: key, CAFile: f.caFile})
}

func printJSON(s streams, value any) error {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
