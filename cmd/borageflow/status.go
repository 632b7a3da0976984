package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/borageflow/borageflow/api"
)

// statusFlags holds the flags of the subcommand status.
type statusFlags struct {
	adminFlags
	json bool
}

func newStatus() command {
	f := &statusFlags{}
	c := newCommand("status", "Shows the status of an entry as tables.", f.run)
	c.sub.AdditionalHelpAppend = "\n  Exit code 1: the entry is not ready, an alarm is raised or a manifest is rejected."
	f.addTo(c.sub)
	c.sub.Bool(&f.json, "j", "json", "Prints JSON (schema/status.json).")
	return c
}

func (f *statusFlags) run(ctx context.Context, s streams) error {
	client, err := f.newClient()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if f.json {
		err = printJSON(s, status)
	} else {
		err = printStatus(s.out, status)
	}
	if err != nil {
		return err
	}
	if !status.Ready || len(status.Alarms) > 0 || len(status.Rejected) > 0 {
		return errOutcomeNotMet
	}
	return nil
}

// table prints rows of tab-separated cells in aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(out io.Writer, header ...string) table {
	t := table{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	t.row(toAny(header)...)
	return t
}

func toAny(texts []string) []any {
	out := make([]any, len(texts))
	for i, t := range texts {
		out[i] = t
	}
	return out
}

func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

// printStatus prints a summary line, alarms, rejected manifests and the tables.
func printStatus(out io.Writer, s api.Status) error {
	_, err := fmt.Fprintf(out, "instance %s (%s)  ready %v  draining %v  revision %d.%d  store reachable %v  peers %d\n",
		s.Instance, s.FailureDomain, s.Ready, s.Draining, s.Revision.Generation, s.Revision.Version, s.StoreReachable, s.Peers)
	if err != nil {
		return err
	}
	for _, alarm := range s.Alarms {
		fmt.Fprintln(out, "ALARM", alarm)
	}
	for _, r := range s.Rejected {
		fmt.Fprintf(out, "REJECTED %d.%d: %s\n", r.Revision.Generation, r.Revision.Version, strings.Join(r.Reasons, "; "))
	}
	for _, t := range []table{customerTable(out, s), versionTable(out, s), serverTable(out, s), rolloutTable(out, s), objectiveTable(out, s)} {
		fmt.Fprintln(out)
		if err := t.w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func customerTable(out io.Writer, s api.Status) table {
	t := newTable(out, "CUSTOMER", "RUNNING", "ANSWERED", "REFUSED", "COST")
	for _, c := range s.Customers {
		t.row(c.Name, c.Running, c.Answered, c.Refused, fmt.Sprintf("%.2f", c.Cost))
	}
	return t
}

func versionTable(out io.Writer, s api.Status) table {
	t := newTable(out, "VERSION", "MODEL", "PHASE", "SHARE", "SERVERS", "RUNNING", "ANSWERED", "QUALITY")
	for _, v := range s.Versions {
		t.row(v.Name, v.Model, v.Phase, fmt.Sprintf("%.2f", v.Share), v.BackendServers, v.Running, v.Answered, fmt.Sprintf("%.3f", v.Quality))
	}
	return t
}

func serverTable(out io.Writer, s api.Status) table {
	t := newTable(out, "BACKEND SERVER", "FAILURE DOMAIN", "STATE", "SLOTS", "EJECTED", "HOLDS")
	for _, b := range s.BackendServers {
		holds := strings.Join(b.Versions, ",")
		if b.Service != "" {
			holds = "service " + b.Service
		}
		t.row(b.Name, b.FailureDomain, b.State, b.Slots, b.Ejected, holds)
	}
	return t
}

func rolloutTable(out io.Writer, s api.Status) table {
	t := newTable(out, "ROLLOUT", "STEP", "SHARE", "STATE", "EVIDENCE")
	for _, r := range s.Rollouts {
		t.row(r.Version, r.Step, fmt.Sprintf("%.2f", r.Share), r.State, r.Evidence)
	}
	return t
}

func objectiveTable(out io.Writer, s api.Status) table {
	t := newTable(out, "OBJECTIVE", "TARGET", "WINDOW", "GOOD", "TOTAL", "BURN")
	for _, o := range s.Objectives {
		for _, w := range o.Windows {
			t.row(o.Class, o.Target, time.Duration(w.Seconds)*time.Second, w.Good, w.Total, fmt.Sprintf("%.2f", w.Burn))
		}
	}
	return t
}
