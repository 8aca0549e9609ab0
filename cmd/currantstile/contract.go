package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"currantstile/admin"
	"currantstile/model"
)

const usageContract = `
currantstile contract list|show|apply|remove|history [flags] [ARGUMENT]

  list                  the contracts in force
  show ORGANISATION     one contract with its revision
  apply FILE            put the contract in FILE (- is stdin) in force
  remove ORGANISATION   end a contract: its keys stop working
  history               the last revisions, newest first

A contract is one JSON document and the only source of a customer's limits. One
that lists no keys keeps the keys in force. An invalid contract changes nothing,
and all its errors are reported at once.

Flags:
  -operator URL   operators' URL of any instance (default http://127.0.0.1:8081)
  -operator-token TEXT  the operators' token, preferably set in the environment
  -json           print JSON
  -by NAME        who makes the change (default $USER)
  -base N         apply: refuse if the contract changed since revision N
  -wait TIME      apply, remove: wait until the change is in force everywhere

Example:
  currantstile contract apply -operator http://10.0.0.5:8081 -wait 7s dealers-ost.json

  {"organisation": "dealers-ost", "rate": 2000, "burst": 10000, "keys": [],
   "adapters": [{"name": "damage-triage", "versions": ["v1", "v2"], "current": "v2"}],
   "routes": [{"name": "pickups", "service": "returns-desk"},
              {"name": "opening-hours", "open": true, "repeatable": true}],
   "priority": 10, "deadline": "60s", "max-tokens": 256}
`

func runContract(ctx context.Context, args []string, out, _ io.Writer) error {
	verb, args, err := parseVerb("contract", args, "list", "show", "apply", "remove", "history")
	if err != nil {
		return err
	}
	fs := newFlags("contract")
	base := fs.Uint64("base", 0, "refuse if the contract changed since this revision")
	wait := fs.Duration("wait", 0, "wait until the change is in force everywhere")
	o, err := newOperatorClient(fs, &operatorFlags{}, args, out)
	if err != nil {
		return err
	}
	switch verb {
	case "list":
		return o.listContracts(ctx)
	case "history":
		return o.history(ctx)
	case "apply":
		names, err := exactArgs(fs, "FILE")
		if err != nil {
			return err
		}
		return o.applyContract(ctx, names[0], *base, *wait)
	default:
		names, err := exactArgs(fs, "ORGANISATION")
		if err != nil {
			return err
		}
		if verb == "show" {
			return o.showContract(ctx, names[0])
		}
		return o.submitChange(ctx, http.MethodDelete, contractPath(names[0]), *wait)
	}
}

func contractPath(org string) string {
	return "/v1/contracts/" + url.PathEscape(org)
}

// submitChange sends a change that has no request body and prints the resulting revision.
func (o *operatorClient) submitChange(ctx context.Context, method, path string, wait time.Duration) error {
	var response admin.ChangeResponse
	if err := o.call(ctx, method, path, nil, &response); err != nil {
		return err
	}
	return o.printChange(ctx, response, wait)
}

func (o *operatorClient) listContracts(ctx context.Context) error {
	var lines admin.ContractSummaries
	if err := o.call(ctx, http.MethodGet, "/v1/contracts", nil, &lines); err != nil {
		return err
	}
	return o.print(lines, func(w io.Writer) {
		fmt.Fprintf(w, "%-20s %8s %8s %8s %5s\n", "organisation", "rate", "burst", "adapters", "keys")
		for _, l := range lines {
			fmt.Fprintf(w, "%-20s %8d %8d %8d %5d\n", l.Organisation, l.Rate, l.Burst, l.Adapters, l.Keys)
		}
	})
}

func (o *operatorClient) showContract(ctx context.Context, org string) error {
	var response admin.ContractResponse
	if err := o.call(ctx, http.MethodGet, contractPath(org), nil, &response); err != nil {
		return err
	}
	return o.print(response, func(w io.Writer) {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		fmt.Fprintf(w, "revision %d\n", response.Revision)
		// Encoding cannot fail: the contract was decoded from JSON.
		_ = e.Encode(response.Contract)
	})
}

func (o *operatorClient) applyContract(ctx context.Context, file string, base uint64, wait time.Duration) error {
	text, err := readFile(file)
	if err != nil {
		return err
	}
	var doc struct {
		Organisation model.OrgID `json:"organisation"`
	}
	if err := json.Unmarshal(text, &doc); err != nil {
		return err
	}
	path := contractPath(string(doc.Organisation))
	if base > 0 {
		path += "?base=" + strconv.FormatUint(base, 10)
	}
	var response admin.ChangeResponse
	if err := o.call(ctx, http.MethodPut, path, text, &response); err != nil {
		return err
	}
	return o.printChange(ctx, response, wait)
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

func (o *operatorClient) history(ctx context.Context) error {
	var lines admin.HistoryEntries
	if err := o.call(ctx, http.MethodGet, "/v1/history", nil, &lines); err != nil {
		return err
	}
	return o.print(lines, func(w io.Writer) {
		for _, l := range lines {
			fmt.Fprintf(w, "%6d %s %-10s %s\n", l.Revision, l.At.Format(time.DateTime), l.By, l.Summary)
		}
	})
}
