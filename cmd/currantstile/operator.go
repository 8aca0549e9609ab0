package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"currantstile/admin"
	"currantstile/rest"
)

// operatorTimeout bounds one request to an instance, including the connecting.
const operatorTimeout = 10 * time.Second

// operatorFlags holds the flags that all operators' commands share.
type operatorFlags struct {
	operator string
	author   string
	token    string
	json     bool
}

func (f *operatorFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.operator, "operator", "http://127.0.0.1:8081", "operators' URL of any instance")
	fs.StringVar(&f.author, "by", currentUser(), "who makes the change")
	fs.StringVar(&f.token, "operator-token", "", "the operators' token (preferably set in the environment)")
	fs.BoolVar(&f.json, "json", false, "print JSON")
}

// currentUser returns $USER, or "operator" if it is not set.
func currentUser() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "operator"
}

// operatorClient calls the operators' HTTP interface of one instance.
type operatorClient struct {
	flags operatorFlags
	addr  netip.AddrPort
	http  *rest.Client
	out   io.Writer
	// changeID is the same in all retries of a change, so that it is made only once.
	changeID string
}

// newOperatorClient parses the flags of an operators' command and returns a client for the
// instance that they name.
func newOperatorClient(fs *flag.FlagSet, f *operatorFlags, args []string, out io.Writer) (*operatorClient, error) {
	f.register(fs)
	if err := parseFlags(fs, args); err != nil {
		return nil, err
	}
	u, err := url.Parse(f.operator)
	if err != nil || u.Scheme != "http" {
		return nil, &usageError{
			command: fs.Name(),
			message: "-operator: needs a URL such as http://10.0.0.5:8081",
		}
	}
	addr, err := netip.ParseAddrPort(u.Host)
	if err != nil {
		return nil, &usageError{
			command: fs.Name(),
			message: "-operator: needs an IP address with a port, not " + u.Host,
		}
	}
	var id [12]byte
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(id[:])
	return &operatorClient{
		flags:    *f,
		addr:     addr,
		http:     rest.NewClient(operatorTimeout, 1),
		out:      out,
		changeID: hex.EncodeToString(id[:]),
	}, nil
}

// call sends a request and decodes its response into out. If it is unknown whether a change was
// made, the request is retried with the same change id, which the server applies only once.
func (o *operatorClient) call(ctx context.Context, method, path string, body []byte, out any) error {
	const attempts = 3
	var err error
	for range attempts {
		var retry bool
		retry, err = o.callOnce(ctx, method, path, body, out)
		if err == nil || !retry {
			return err
		}
	}
	return err
}

// callOnce sends a request once. After an error it also reports whether the request may have
// been executed, so that it is worth a retry with the same change id.
func (o *operatorClient) callOnce(ctx context.Context, method, path string, body []byte, out any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	resp, err := o.http.Exchange(ctx, rest.Request{
		Method: method,
		Addr:   o.addr,
		Path:   path,
		Header: http.Header{
			admin.HeaderChangeID: {o.changeID},
			admin.HeaderOperator: {o.flags.author},
			"Authorization":      {"Bearer " + o.flags.token},
		},
		Body: body,
	})
	if err != nil {
		return rest.MaybeSent(err), err
	}
	if resp.Status != http.StatusOK {
		return resp.Status == http.StatusGatewayTimeout, problemError(resp)
	}
	if out == nil {
		return false, nil
	}
	return false, json.Unmarshal(resp.Body, out)
}

// problemError returns the error in a response of the operators' interface, with a line for
// each invalid field.
func problemError(resp rest.Response) error {
	var p admin.Problem
	if err := json.Unmarshal(resp.Body, &p); err != nil || p.Message == "" {
		return errors.Errorf("the operators' interface answered with status %d", resp.Status)
	}
	if len(p.Fields) == 0 {
		return errors.New(p.Message)
	}
	lines := make([]string, 0, len(p.Fields))
	for _, f := range p.Fields {
		lines = append(lines, "  "+f.Path+": "+f.Message)
	}
	return errors.New("nothing was changed:\n" + strings.Join(lines, "\n"))
}

// print writes v as JSON if -json is set, and calls text otherwise.
func (o *operatorClient) print(v any, text func(w io.Writer)) error {
	if !o.flags.json {
		text(o.out)
		return nil
	}
	e := json.NewEncoder(o.out)
	return e.Encode(v)
}

// runDocument runs a command that fetches one document from path and prints it.
func runDocument[T any](ctx context.Context, name, path string, args []string, out io.Writer, text func(io.Writer, T)) error {
	o, err := newOperatorClient(newFlags(name), &operatorFlags{}, args, out)
	if err != nil {
		return err
	}
	var document T
	if err := o.call(ctx, http.MethodGet, path, nil, &document); err != nil {
		return err
	}
	return o.print(document, func(w io.Writer) {
		text(w, document)
	})
}

// printChange prints the revision of an accepted change. If wait is not zero, it then waits up
// to that long until the revision is in force at all instances.
func (o *operatorClient) printChange(ctx context.Context, change admin.ChangeResponse, wait time.Duration) error {
	if err := o.print(change, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as revision %d\n", change.Revision)
	}); err != nil || wait == 0 {
		return err
	}
	return o.awaitRevision(ctx, change, wait)
}

// awaitRevision polls until every instance has the revision in force. After wait it returns an
// error that lists the instances that do not.
func (o *operatorClient) awaitRevision(ctx context.Context, change admin.ChangeResponse, wait time.Duration) error {
	const poll = 200 * time.Millisecond
	deadline := time.Now().Add(wait)
	for {
		var status admin.FleetStatus
		if err := o.call(ctx, http.MethodGet, "/v1/status", nil, &status); err != nil {
			return err
		}
		var missing []string
		for _, in := range status.Instances {
			if !in.Answered || in.Revision < change.Revision {
				missing = append(missing, string(in.ID))
			}
		}
		if len(missing) == 0 && len(status.Instances) > 0 {
			if !o.flags.json {
				fmt.Fprintf(o.out, "in force at all %d instances\n", len(status.Instances))
			}
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("revision %d was accepted but is not yet in force at: %s", change.Revision, strings.Join(missing, ", "))
		}
		time.Sleep(poll)
	}
}

// parseVerb returns the first argument, which must be one of verbs, and the remaining ones.
func parseVerb(command string, args []string, verbs ...string) (string, []string, error) {
	if len(args) > 0 {
		for _, v := range verbs {
			if args[0] == v {
				return v, args[1:], nil
			}
		}
	}
	return "", nil, &usageError{
		command: command,
		message: "needs one of " + strings.Join(verbs, ", "),
	}
}

// exactArgs returns the positional arguments, of which there must be one for each of names.
func exactArgs(fs *flag.FlagSet, names ...string) ([]string, error) {
	if fs.NArg() != len(names) {
		return nil, &usageError{
			command: fs.Name(),
			message: "needs " + strings.Join(names, " ") + " after the flags",
		}
	}
	return fs.Args(), nil
}
