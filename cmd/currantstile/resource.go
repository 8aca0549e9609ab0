package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"currantstile/admin"
	"currantstile/model"
)

const usageResourceFlags = `
Flags:
  -operator URL   operators' URL of any instance (default http://127.0.0.1:8081)
  -operator-token TEXT  the operators' token, preferably set in the environment
  -json           print JSON
  -by NAME        who makes the change (default $USER)
  -wait TIME      wait until the change is in force everywhere
  -force          out: allow it for the last one in service
`

const usageZone = `
currantstile zone out|back|list [flags] [NAME]

Takes a data centre out of service or back. A data centre that is out receives no
new requests after a few seconds; running requests are completed. The last one in
service is taken out only with -force.
` + usageResourceFlags + `
Example:
  currantstile zone out -wait 7s buchs
`

const usageInstance = `
currantstile instance out|back|list [flags] [NAME]

Takes an instance out of service or back. An instance that is out manages no
targets; the platform's load balancer decides which instances callers reach.
` + usageResourceFlags + `
Example:
  currantstile instance out entry-3
`

const usageTarget = `
currantstile target out|back|list [flags] [NAME]

Takes a target out of service or back. A target that is out receives no new
requests after a few seconds; running requests are completed.
` + usageResourceFlags + `
Example:
  currantstile target out engine-07
`

func runZone(ctx context.Context, args []string, out, _ io.Writer) error {
	return runResource(ctx, "zone", model.KindZone, args, out)
}

func runInstance(ctx context.Context, args []string, out, _ io.Writer) error {
	return runResource(ctx, "instance", model.KindInstance, args, out)
}

func runTarget(ctx context.Context, args []string, out, _ io.Writer) error {
	return runResource(ctx, "target", model.KindTarget, args, out)
}

// runResource runs the verbs that data centres, instances and targets share.
func runResource(ctx context.Context, name string, kind model.ResourceKind, args []string, out io.Writer) error {
	verb, args, err := parseVerb(name, args, "out", "back", "list")
	if err != nil {
		return err
	}
	fs := newFlags(name)
	wait := fs.Duration("wait", 0, "wait until the change is in force everywhere")
	force := fs.Bool("force", false, "allow it for the last one in service")
	o, err := newOperatorClient(fs, &operatorFlags{}, args, out)
	if err != nil {
		return err
	}
	path := "/v1/out/" + string(kind)
	if verb == "list" {
		return o.listResources(ctx, path)
	}
	names, err := exactArgs(fs, "NAME")
	if err != nil {
		return err
	}
	path += "/" + url.PathEscape(names[0])
	if verb == "back" {
		return o.submitChange(ctx, http.MethodDelete, path, *wait)
	}
	if *force {
		path += "?force=true"
	}
	return o.submitChange(ctx, http.MethodPut, path, *wait)
}

func (o *operatorClient) listResources(ctx context.Context, path string) error {
	var lines admin.Resources
	if err := o.call(ctx, http.MethodGet, path, nil, &lines); err != nil {
		return err
	}
	return o.print(lines, func(w io.Writer) {
		for _, l := range lines {
			by := ""
			if l.By != "" {
				by = " by " + l.By
			}
			fmt.Fprintf(w, "%-16s %-12s %s%s\n", l.Name, l.Zone, l.State, by)
		}
	})
}
