package main

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/internal/adminclient"
)

// Environment variables that replace the flags --admin and --key-file.
const (
	adminURLVariable = "BORAGEFLOW_ADMIN"
	adminKeyVariable = "BORAGEFLOW_KEY"
)

// adminFlags holds the flags of the commands that call the administration API.
type adminFlags struct {
	url, keyFile, caFile string
}

// addTo registers the flags with a subcommand.
func (f *adminFlags) addTo(sub *flaggy.Subcommand) {
	sub.String(&f.url, "a", "admin", "URL of an entry's administration API; default $"+adminURLVariable+".")
	sub.String(&f.keyFile, "k", "key-file", "File that holds the operator key; default the key in $"+adminKeyVariable+".")
	sub.String(&f.caFile, "", "ca-file", "PEM file of the CA certificates that verify the entry's certificate.")
}

// newClient returns a client of the administration API. It returns a usageError when
// neither the flags nor the environment give the URL and the operator key.
func (f *adminFlags) newClient() (*adminclient.Client, error) {
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

// printJSON writes a value as indented JSON to the standard output.
func printJSON(s streams, value any) error {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
