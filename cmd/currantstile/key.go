package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"currantstile/admin"
	"currantstile/model"
)

const usageKey = `
currantstile key issue|withdraw|list [flags] [ARGUMENT]

  issue ORGANISATION          create a key and show it; it is never shown again
  withdraw KEY                withdraw a key, given in full
  withdraw ORGANISATION ID    withdraw a key, given by its id
  list ORGANISATION           the ids of the keys in force

A withdrawn key stops working within seconds, also for further requests on an
open connection. To replace a key without interruption, issue the new key before
withdrawing the old one.

Flags:
  -operator URL   operators' URL of any instance (default http://127.0.0.1:8081)
  -operator-token TEXT  the operators' token, preferably set in the environment
  -json           print JSON
  -by NAME        who makes the change (default $USER)
  -wait TIME      wait until the change is in force everywhere

Example:
  currantstile key withdraw -wait 7s dealers-ost 5j2ta367
`

func runKey(ctx context.Context, args []string, out, _ io.Writer) error {
	verb, args, err := parseVerb("key", args, "issue", "withdraw", "list")
	if err != nil {
		return err
	}
	fs := newFlags("key")
	wait := fs.Duration("wait", 0, "wait until the change is in force everywhere")
	o, err := newOperatorClient(fs, &operatorFlags{}, args, out)
	if err != nil {
		return err
	}
	if verb == "withdraw" {
		return o.withdrawKey(ctx, fs.Args(), *wait)
	}
	names, err := exactArgs(fs, "ORGANISATION")
	if err != nil {
		return err
	}
	if verb == "issue" {
		return o.issueKey(ctx, names[0], *wait)
	}
	return o.listKeys(ctx, names[0])
}

func keysPath(org string) string {
	return contractPath(org) + "/keys"
}

func (o *operatorClient) issueKey(ctx context.Context, org string, wait time.Duration) error {
	var response admin.ChangeResponse
	// Issuing is not retried: a key is shown only once, so a retry could not recover a key
	// whose response was lost. The operator withdraws that key by its id.
	_, err := o.callOnce(ctx, http.MethodPost, keysPath(org), nil, &response)
	if err != nil {
		return err
	}
	if !o.flags.json {
		fmt.Fprintln(o.out, response.Key)
	}
	return o.printChange(ctx, response, wait)
}

func (o *operatorClient) withdrawKey(ctx context.Context, args []string, wait time.Duration) error {
	var org, id string
	switch len(args) {
	case 1:
		key, err := model.ParseKey(args[0])
		if err != nil {
			return &usageError{
				command: "key",
				message: err.Error(),
			}
		}
		org, id = string(key.Organisation), string(key.ID)
	case 2:
		org, id = args[0], args[1]
	default:
		return &usageError{
			command: "key",
			message: "needs KEY, or ORGANISATION ID, after the flags",
		}
	}
	return o.submitChange(ctx, http.MethodDelete, keysPath(org)+"/"+url.PathEscape(id), wait)
}

func (o *operatorClient) listKeys(ctx context.Context, org string) error {
	var keys model.Keys
	if err := o.call(ctx, http.MethodGet, keysPath(org), nil, &keys); err != nil {
		return err
	}
	return o.print(keys, func(w io.Writer) {
		for _, k := range keys {
			fmt.Fprintf(w, "%s issued %s\n", k.ID, k.Issued.Format(time.DateTime))
		}
	})
}
