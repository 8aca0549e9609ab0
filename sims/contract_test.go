package sims_test

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/engine"
	"currantstile/model"
	"currantstile/remote"
	"currantstile/rest"
	"currantstile/sims"
	"currantstile/store"
)

// Environment variables with the address of the server that a contract test runs
// against, so that the tests can check the platform's own services. If a variable is
// not set, the test starts a simulator.
const (
	envStore   = "CURRANTSTILE_TEST_STORE"
	envEngine  = "CURRANTSTILE_TEST_ENGINE"
	envService = "CURRANTSTILE_TEST_SERVICE"
	envWeights = "CURRANTSTILE_TEST_WEIGHTS"
	envMembers = "CURRANTSTILE_TEST_MEMBERS"
)

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	client   = rest.NewClient(time.Second, 8)
)

type server interface {
	Start() error
	Stop(ctx context.Context) error
	BoundAddr() netip.AddrPort
}

// serverAddr returns the address in the environment variable env, or else starts s and
// returns its address.
func serverAddr(t *testing.T, env string, s server) netip.AddrPort {
	if text := os.Getenv(env); text != "" {
		return netip.MustParseAddrPort(text)
	}
	require.NoError(t, s.Start())
	t.Cleanup(func() {
		require.NoError(t, s.Stop(context.Background()))
	})
	return s.BoundAddr()
}

func postFaults(t *testing.T, addr netip.AddrPort, f sims.Faults) {
	resp, err := client.ExchangeJSON(context.Background(), rest.Request{
		Method: http.MethodPost,
		Addr:   addr,
		Path:   "/faults",
	}, f, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.Status, "%s", resp.Body)
}

func newStore(t *testing.T) (netip.AddrPort, *remote.Store) {
	addr := serverAddr(t, envStore, &sims.StoreServer{Addr: loopback})
	return addr, &remote.Store{
		Addr:    addr,
		HTTP:    client,
		Timeout: 500 * time.Millisecond,
	}
}

// Guards against a store that ignores the expected revision of a write or deletion, or
// that accepts a value above the size limit.
func TestStoreContract(t *testing.T) {
	ctx := context.Background()
	_, kv := newStore(t)
	_, err := kv.Get(ctx, "contract/a")
	require.ErrorIs(t, err, store.ErrNotFound)
	first, err := kv.Put(ctx, store.Write{Key: "contract/a", Value: []byte("1")})
	require.NoError(t, err)
	_, err = kv.Put(ctx, store.Write{Key: "contract/a", Value: []byte("2")})
	var conflict *store.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, first, conflict.Current)
	second, err := kv.Put(ctx, store.Write{Key: "contract/a", Value: []byte("2"), Expect: first})
	require.NoError(t, err)
	require.Greater(t, second, first)
	e, err := kv.Get(ctx, "contract/a")
	require.NoError(t, err)
	require.Equal(t, "2", string(e.Value))
	require.Equal(t, second, e.Revision)
	list, err := kv.List(ctx, "contract/")
	require.NoError(t, err)
	require.Len(t, list.Entries, 1)
	require.True(t, store.IsConflict(kv.Delete(ctx, "contract/a", first)))
	require.NoError(t, kv.Delete(ctx, "contract/a", second))
	_, err = kv.Put(ctx, store.Write{Key: "contract/b", Value: make([]byte, store.MaxValueBytes+1)})
	require.ErrorIs(t, err, store.ErrTooLarge)
}

// Guards against a watch that misses a write or a deletion, or that returns none of the
// writes made while it waits.
func TestStoreWatchContract(t *testing.T) {
	ctx := context.Background()
	_, kv := newStore(t)
	list, err := kv.List(ctx, "contract-w/")
	require.NoError(t, err)
	empty, err := kv.Watch(ctx, "contract-w/", list.Revision, 50*time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, empty.Entries)
	got := make(chan store.Batch, 1)
	go func() {
		// On an error the batch is empty, which the length check below detects.
		b, _ := kv.Watch(ctx, "contract-w/", list.Revision, 10*time.Second)
		got <- b
	}()
	rev, err := kv.Put(ctx, store.Write{Key: "contract-w/a", Value: []byte("1")})
	require.NoError(t, err)
	b := <-got
	require.Len(t, b.Entries, 1)
	require.Equal(t, rev, b.Entries[0].Revision)
	require.NoError(t, kv.Delete(ctx, "contract-w/a", rev))
	b, err = kv.Watch(ctx, "contract-w/", rev, time.Second)
	require.NoError(t, err)
	require.True(t, b.Entries[0].Deleted)
}

// Guards against keys that outlive their lease after its expiry or revocation.
func TestStoreLeaseContract(t *testing.T) {
	ctx := context.Background()
	_, kv := newStore(t)
	id, err := kv.Grant(ctx, 300*time.Millisecond)
	require.NoError(t, err)
	_, err = kv.Put(ctx, store.Write{Key: "contract-l/a", Lease: id})
	require.NoError(t, err)
	require.NoError(t, kv.Renew(ctx, id))
	require.Eventually(t, func() bool {
		_, err := kv.Get(ctx, "contract-l/a")
		return err != nil
	}, 5*time.Second, 20*time.Millisecond)
	require.ErrorIs(t, kv.Renew(ctx, id), store.ErrLeaseLost)
	other, err := kv.Grant(ctx, time.Minute)
	require.NoError(t, err)
	_, err = kv.Put(ctx, store.Write{Key: "contract-l/b", Lease: other})
	require.NoError(t, err)
	require.NoError(t, kv.Revoke(ctx, other))
	_, err = kv.Get(ctx, "contract-l/b")
	require.ErrorIs(t, err, store.ErrNotFound)
}

// Guards against a client that reports a call as refused although it may have taken
// effect, or as ambiguous although it did not: a write is ambiguous if its response is
// late or lost, and all other failures count as refused. Runs each call under each fault.
func TestStoreFaults(t *testing.T) {
	calls := []struct {
		name  string
		call  func(kv *remote.Store) error
		reads bool
	}{
		{
			name: "get",
			call: func(kv *remote.Store) error {
				_, err := kv.Get(context.Background(), "x")
				return err
			},
			reads: true,
		},
		{
			name: "list",
			call: func(kv *remote.Store) error {
				_, err := kv.List(context.Background(), "x")
				return err
			},
			reads: true,
		},
		{
			name: "watch",
			call: func(kv *remote.Store) error {
				_, err := kv.Watch(context.Background(), "x", 0, 10*time.Millisecond)
				return err
			},
			reads: true,
		},
		{
			name: "put",
			call: func(kv *remote.Store) error {
				_, err := kv.Put(context.Background(), store.Write{Key: "y"})
				return err
			},
		},
		{
			name: "delete",
			call: func(kv *remote.Store) error {
				return kv.Delete(context.Background(), "x", 1)
			},
		},
		{
			name: "grant",
			call: func(kv *remote.Store) error {
				_, err := kv.Grant(context.Background(), time.Second)
				return err
			},
		},
	}
	faults := []struct {
		name      string
		faults    sims.Faults
		ambiguous bool
	}{
		{
			name:   "refused",
			faults: sims.Faults{Refuse: 1},
		},
		{
			name:   "outage",
			faults: sims.Faults{Outage: true},
		},
		{
			name:      "slow",
			faults:    sims.Faults{Delay: model.Duration(1200 * time.Millisecond)},
			ambiguous: true,
		},
		{
			name:      "response lost",
			faults:    sims.Faults{DropResponse: 1},
			ambiguous: true,
		},
	}
	for _, f := range faults {
		for _, c := range calls {
			t.Run(f.name+" "+c.name, func(t *testing.T) {
				addr, kv := newStore(t)
				_, err := kv.Put(context.Background(), store.Write{Key: "x"})
				require.NoError(t, err)
				postFaults(t, addr, f.faults)
				err = c.call(kv)
				require.Error(t, err)
				require.Equal(t, f.ambiguous && !c.reads, store.IsAmbiguous(err), "%s", err)
				require.Equal(t, !f.ambiguous || c.reads, store.IsRefused(err), "%s", err)
			})
		}
	}
}

// Guards against a retried write that conflicts with itself after its response was
// lost, and against taking another client's write for the own one.
func TestPutIdempotent(t *testing.T) {
	ctx := context.Background()
	isOwnWrite := func(e store.Entry) bool {
		return string(e.Value) == "mine"
	}
	addr, kv := newStore(t)
	postFaults(t, addr, sims.Faults{DropResponse: 1})
	_, err := store.PutIdempotent(ctx, kv, store.Write{Key: "a", Value: []byte("mine")}, isOwnWrite)
	require.True(t, store.IsAmbiguous(err), "the response of the read is lost as well")
	postFaults(t, addr, sims.Faults{})
	_, err = store.PutIdempotent(ctx, kv, store.Write{Key: "a", Value: []byte("mine")}, isOwnWrite)
	require.NoError(t, err, "the retry must recognise its own earlier write")
	_, err = store.PutIdempotent(ctx, kv, store.Write{Key: "a", Value: []byte("other")}, func(e store.Entry) bool {
		return string(e.Value) == "other"
	})
	require.True(t, store.IsConflict(err))
}

// Guards against an engine that runs requests without their adapter, loads beyond its
// slots, accepts an outdated fencing token, or sends a stream without usage and end.
func TestEngineContract(t *testing.T) {
	ctx := context.Background()
	addr := serverAddr(t, envEngine, &sims.EngineServer{Addr: loopback, Name: "e", HTTP: client, Settings: sims.EngineSettings{Slots: 1}})
	c := &engine.Client{HTTP: client}
	s, err := c.State(ctx, addr)
	require.NoError(t, err)
	require.NotEmpty(t, s.Incarnation)
	call := engine.Call{
		RequestID: "r-1",
		Path:      "/v1/completions",
		Body:      []byte(`{"model":"a@v1","prompt":"x","max_tokens":3,"stream":true}`),
	}
	_, err = c.Generate(ctx, addr, call)
	require.Equal(t, engine.CodeNotLoaded, engine.RefusalCode(err))
	load := engine.Order{FencingToken: 7, Op: engine.OpLoad, Name: "a", Version: "v1"}
	require.NoError(t, c.Order(ctx, addr, load))
	require.NoError(t, c.Order(ctx, addr, load), "loading a loaded adapter changes nothing")
	other := engine.Order{FencingToken: 7, Op: engine.OpLoad, Name: "b", Version: "v1"}
	require.Equal(t, engine.CodeNoSlot, engine.RefusalCode(c.Order(ctx, addr, other)))
	other.FencingToken = 6
	require.Equal(t, engine.CodeStaleFencingToken, engine.RefusalCode(c.Order(ctx, addr, other)))
	stream, err := c.Generate(ctx, addr, call)
	require.NoError(t, err)
	events := 0
	for {
		if _, err = stream.Next(); err != nil {
			break
		}
		events++
	}
	require.Equal(t, "EOF", err.Error())
	require.Equal(t, 5, events, "three tokens, the usage and the end marker")
	usage, complete := stream.Usage()
	require.True(t, complete)
	require.Equal(t, model.Complete{PromptTokens: 1, GeneratedTokens: 3}, usage)
	require.NoError(t, stream.Close())
	require.NoError(t, c.Order(ctx, addr, engine.Order{FencingToken: 8, Op: engine.OpUnload, Name: "a", Version: "v1"}))
}

// Guards against a plain service that refuses a second call with the same idempotency key
// or does not return the request ID.
func TestServiceContract(t *testing.T) {
	addr := serverAddr(t, envService, &sims.ServiceServer{Addr: loopback, Name: "s"})
	c := &engine.Client{HTTP: client}
	for run := 1; run <= 2; run++ {
		resp, err := c.Serve(context.Background(), addr, engine.ServiceCall{
			RequestID: "r-1",
			Method:    http.MethodPost,
			Path:      "/book",
			Header:    http.Header{"Idempotency-Key": {"k"}},
			Body:      []byte("{}"),
		})
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.Status)
		require.Equal(t, "r-1", resp.Header.Get("X-Request-Id"))
	}
}

// Guards against a weight store without a rate limit, and load times that do not grow
// with the number of concurrent loads above eight.
func TestWeightsContract(t *testing.T) {
	addr := serverAddr(t, envWeights, &sims.WeightsServer{Addr: loopback, Burst: 1, PerSecond: 1})
	get := func() int {
		resp, err := client.Exchange(context.Background(), rest.Request{Method: http.MethodGet, Addr: addr, Path: "/weights/a/v1"})
		require.NoError(t, err)
		return resp.Status
	}
	require.Equal(t, http.StatusOK, get())
	require.Equal(t, http.StatusTooManyRequests, get())
	require.Equal(t, 250*time.Millisecond, sims.LoadTime(8))
	require.Equal(t, 500*time.Millisecond, sims.LoadTime(16))
}

// Guards against a list of members that the client cannot decode. The list is empty at
// the start.
func TestMembersContract(t *testing.T) {
	addr := serverAddr(t, envMembers, &sims.MembersServer{Addr: loopback})
	source := &remote.Members{Addr: addr, HTTP: client}
	list, err := source.Members(context.Background())
	require.NoError(t, err)
	require.Empty(t, list)
}

// Guards against a lag that is ignored: a replaced list must become visible only after
// the lag.
func TestMembersLag(t *testing.T) {
	s := &sims.MembersServer{Addr: loopback}
	addr := serverAddr(t, "", s)
	source := &remote.Members{Addr: addr, HTTP: client}
	postFaults(t, addr, sims.Faults{Lag: model.Duration(time.Hour)})
	s.Replace(time.Now(), model.Members{{ID: "entry-0", Role: model.RoleEntry, Zone: "east", Addr: addr, State: model.StateLive}})
	list, err := source.Members(context.Background())
	require.NoError(t, err)
	require.Empty(t, list)
	postFaults(t, addr, sims.Faults{})
	list, err = source.Members(context.Background())
	require.NoError(t, err)
	require.Len(t, list, 1)
}

// An engine in its cold start must crash if it gets more concurrent requests than its
// limit, and restart without adapters and with a new incarnation. Guards against a
// simulator that tolerates instances which overload a cold engine.
func TestColdEngineCrashesWhenOverloaded(t *testing.T) {
	s := &sims.EngineServer{Addr: loopback, Name: "e", HTTP: client, Settings: sims.EngineSettings{ColdMaxConcurrent: 1, ColdTime: time.Hour, RestartTime: time.Millisecond}}
	addr := serverAddr(t, "", s)
	c := &engine.Client{HTTP: client}
	ctx := context.Background()
	require.NoError(t, c.Order(ctx, addr, engine.Order{Op: engine.OpLoad, Name: "a", Version: "v1"}))
	before := s.State().Incarnation
	postFaults(t, addr, sims.Faults{Cold: true})
	call := engine.Call{RequestID: "r", Path: "/v1/completions", Body: []byte(`{"model":"a@v1","prompt":"x","max_tokens":500,"stream":true}`)}
	stream, err := c.Generate(ctx, addr, call)
	require.NoError(t, err)
	_, err = c.Generate(ctx, addr, call)
	require.Error(t, err)
	require.IsType(t, model.Unknown{}, engine.OutcomeOf(err))
	for {
		if _, err = stream.Next(); err != nil {
			break
		}
	}
	require.IsType(t, model.Failed{}, engine.OutcomeOf(err))
	require.NotEqual(t, before, s.State().Incarnation)
	require.Empty(t, s.State().Adapters)
}
