package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/command"
	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/structs"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command")
}

// fakeAPI implements command.API. It records the commands it receives and returns the
// objects, the declaration and the error set by the test.
type fakeAPI struct {
	commands []structs.ConfigCommand
	resolved []structs.ResolveCall
	objects  []structs.Object
	current  *structs.Declaration
	err      error
	// drainOrdersOf holds the drain names whose next number was asked for, which is always 3.
	drainOrdersOf []string
}

func (f *fakeAPI) Config(_ context.Context, cmd structs.ConfigCommand) (*structs.ConfigReply, error) {
	f.commands = append(f.commands, cmd)
	return &structs.ConfigReply{Revision: 7}, f.err
}

func (f *fakeAPI) QueryConfig(_ context.Context, q structs.ConfigQuery) (*structs.ConfigQueryReply, error) {
	r := &structs.ConfigQueryReply{Revision: 6, Declaration: f.current}
	if q.NextDrainOrder != "" {
		f.drainOrdersOf = append(f.drainOrdersOf, q.NextDrainOrder)
		r.NextDrainOrder = 3
	}
	for _, o := range f.objects {
		for _, k := range q.Kinds {
			if o.Kind == k {
				r.Objects = append(r.Objects, o)
			}
		}
	}
	return r, f.err
}

func (f *fakeAPI) Members(context.Context) (map[string]structs.MemberStatus, map[string]error) {
	return map[string]structs.MemberStatus{"a": {ID: "state-1", Groups: []structs.GroupStatus{{Leader: "state-1"}}}}, nil
}
func (f *fakeAPI) RemoveMember(context.Context, string) error { return f.err }
func (f *fakeAPI) GetCall(context.Context, structs.CallQuery) (*structs.Call, error) {
	return &structs.Call{Key: "k", State: structs.CallUnknown}, f.err
}
func (f *fakeAPI) ResolveCall(_ context.Context, _ string, r structs.ResolveCall) (*structs.Call, error) {
	f.resolved = append(f.resolved, r)
	return &structs.Call{Key: r.Key, State: r.State}, f.err
}
func (f *fakeAPI) Targets(context.Context) ([]structs.TargetStatus, error) { return nil, f.err }
func (f *fakeAPI) SaveSnapshot(context.Context) ([]byte, error)            { return []byte("snap"), f.err }
func (f *fakeAPI) LoadSnapshot(context.Context, []byte) error              { return f.err }
func (f *fakeAPI) Close()                                                  {}

// writeCounter is a writer that counts the calls of Write.
type writeCounter struct{ writes int }

func (w *writeCounter) Write(p []byte) (int, error) {
	w.writes++
	return len(p), nil
}

// rolloutState implements command.Rollouts with the last order.
type rolloutState struct{ to, reason string }

func (r *rolloutState) Start(_ context.Context, _, to string, duration time.Duration) error {
	r.to, r.reason = to, fmt.Sprintf("%v at %s", duration, r.reason)
	return nil
}

func (r *rolloutState) State(context.Context, string) (state, to, reason string, err error) {
	return "in_progress", r.to, r.reason, nil
}

var _ = Describe("figlbctl", func() {
	var (
		api            *fakeAPI
		stdout, stderr *bytes.Buffer
	)
	run := func(args ...string) int {
		stdout, stderr = new(bytes.Buffer), new(bytes.Buffer)
		env := &command.Env{Stdout: stdout, Stderr: stderr,
			Connect:         func(*command.CommonFlags) (command.API, error) { return api, nil },
			ConnectRollouts: func(address string) command.Rollouts { return &rolloutState{reason: address} }}
		return command.Run(env, args)
	}
	declaration := []string{"-base", "../examples/base.ini", "-overlay", "../examples/neng.ini", "-state", "127.0.0.1:1"}
	with := func(verb string, more ...string) []string {
		return append(append([]string{verb}, declaration...), more...)
	}
	BeforeEach(func() {
		api = &fakeAPI{}
		DeferCleanup(os.Setenv, "FIGLB_STATE", os.Getenv("FIGLB_STATE"))
		Expect(os.Unsetenv("FIGLB_STATE")).To(Succeed())
	})

	// Scripts rely on the exit codes. Each entry checks one cause of an exit code and its message.
	DescribeTable("exits with",
		func(code int, message string, args ...string) {
			Expect(run(args...)).To(Equal(code))
			Expect(stderr.String() + stdout.String()).To(ContainSubstring(message))
		},
		Entry("2 without arguments", command.ExitUsage, "Commands:"),
		Entry("0 for help", command.ExitOK, "key grant", "help"),
		Entry("0 for help of a verb, with an example", command.ExitOK, "Example:", "help", "key", "grant"),
		Entry("0 for -h of a verb", command.ExitOK, "Usage: figlbctl apply", "apply", "-h"),
		Entry("2 for an unknown command", command.ExitUsage, `unknown command "frob"`, "frob"),
		Entry("2 for an unknown flag", command.ExitUsage, "-frob", "status", "-frob"),
		Entry("2 without the address of a state member", command.ExitUsage, "FIGLB_STATE", "status"),
		Entry("2 for an unknown output format", command.ExitUsage, "use table or json", "status", "-state", "x", "-output", "xml"),
		Entry("2 for apply without a revision", command.ExitUsage, "-from N", "apply", "-state", "x", "-base", "b", "-overlay", "o"),
		Entry("2 for drain of an organisation", command.ExitUsage, "cannot be drained", "drain", "-state", "x", "organisation", "a"),
		Entry("2 for an order with an unknown action", command.ExitUsage, "load_model", "order", "submit", "-state", "x", "t", "explode", "v"),
		Entry("1 for a missing file", command.ExitFailed, "cannot read missing.ini", "validate", "-base", "missing.ini", "-overlay", "missing.ini"),
		Entry("0 for a valid declaration", command.ExitOK, "valid", "validate", "-base", "../examples/base.ini", "-overlay", "../examples/neng.ini"),
		Entry("1 for an object that does not exist", command.ExitFailed, "does not exist", "get", "-state", "x", "zone", "z"),
		Entry("0 for version", command.ExitOK, structs.Version, "version"),
	)

	It("exits with 4, prints all problems of an invalid declaration and sends no command", func() {
		bad := filepath.Join(GinkgoT().TempDir(), "bad.ini")
		Expect(os.WriteFile(bad, []byte("[tenant x]\n[host h]\nzone = q\n"), 0o600)).To(Succeed())
		Expect(run("apply", "-state", "x", "-base", "../examples/base.ini", "-overlay", bad, "-from", "1")).To(Equal(command.ExitInvalid))
		Expect(stderr.String()).To(And(ContainSubstring("[tenant x]"), ContainSubstring(`zone "q"`)))
		Expect(api.commands).To(BeEmpty())
	})

	It("exits with 3 when the configuration has changed since the plan", func() {
		api.err = errs.New(errs.RevisionConflict, "plan again", "the current revision is 9")
		Expect(run(with("apply", "-from", "8")...)).To(Equal(command.ExitConflict))
		Expect(stderr.String()).To(ContainSubstring("plan again"))
	})

	// Guards against a drain that is given up, arrives late and undoes a later return: members tell
	// them apart by the numbers.
	It("sends drains and returns with their numbers", func() {
		Expect(run("drain", "-state", "x", "zone", "a")).To(Equal(command.ExitOK))
		Expect(run("return", "-state", "x", "target", "t1")).To(Equal(command.ExitOK))
		Expect(api.drainOrdersOf).To(Equal([]string{"zone/a", "target/t1"}))
		for _, c := range api.commands {
			Expect(c.SetDrain.Order).To(BeEquivalentTo(3))
		}
	})

	It("exits with 5 and prints the request id when there is no response", func() {
		api.err = context.DeadlineExceeded
		Expect(run(with("apply", "-from", "8")...)).To(Equal(command.ExitUnavailable))
		Expect(stderr.String()).To(ContainSubstring("-request-id " + api.commands[0].RequestID))
		Expect(run(with("apply", "-from", "8", "-request-id", "again")...)).To(Equal(command.ExitUnavailable))
		Expect(api.commands[1].RequestID).To(Equal("again"))
	})

	It("plans against the declaration in force", func() {
		Expect(run(with("plan", "-output", "json")...)).To(Equal(command.ExitOK))
		var r struct {
			Revision uint64
			Changes  []struct{ Action, Kind, Name string }
		}
		Expect(json.Unmarshal(stdout.Bytes(), &r)).To(Succeed())
		Expect(r.Revision).To(BeEquivalentTo(6))
		Expect(r.Changes).NotTo(BeEmpty())
	})

	It("shows a granted key once and sends only its hash", func() {
		Expect(run("key", "grant", "-state", "x", "acme", "-output", "json")).To(Equal(command.ExitOK))
		var r struct{ Key, ID string }
		Expect(json.Unmarshal(stdout.Bytes(), &r)).To(Succeed())
		sent, err := json.Marshal(api.commands[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Key).To(HavePrefix("figlb_"))
		Expect(string(sent)).NotTo(ContainSubstring(r.Key))
		Expect(api.commands[0].GrantKey.Hash).To(HaveLen(64))
	})

	It("prints configuration objects", func() {
		data, err := msgpack.Marshal(&structs.Zone{Name: "lagos-a"})
		Expect(err).NotTo(HaveOccurred())
		api.objects = []structs.Object{{Kind: structs.KindZone, Name: "lagos-a", ModRev: 3, Data: data}}
		Expect(run("get", "zone", "-state", "x")).To(Equal(command.ExitOK))
		Expect(stdout.String()).To(ContainSubstring("lagos-a"))
	})

	// With several writes, a reader that exits after the first lines, such as head, terminates
	// the command with SIGPIPE and fails a script that runs under pipefail.
	It("writes a table in a single call", func() {
		data, err := msgpack.Marshal(&structs.Zone{Name: "lagos-a"})
		Expect(err).NotTo(HaveOccurred())
		api.objects = []structs.Object{
			{Kind: structs.KindZone, Name: "lagos-a", Data: data},
			{Kind: structs.KindZone, Name: "lagos-b", Data: data},
		}
		out := &writeCounter{}
		env := &command.Env{Stdout: out, Stderr: out,
			Connect: func(*command.CommonFlags) (command.API, error) { return api, nil }}
		Expect(command.Run(env, []string{"get", "-state", "x", "zone"})).To(Equal(command.ExitOK))
		Expect(out.writes).To(Equal(1))
	})

	// Guards against a roll-out that is started without its version or at no controller.
	It("starts a roll-out at a controller and shows its state", func() {
		Expect(run("rollout", "start", "search", "-to", "v2")).To(Equal(command.ExitUsage))
		Expect(run("rollout", "start", "search", "-api", "a:1")).To(Equal(command.ExitUsage))
		Expect(run("rollout", "start", "search", "-api", "a:1", "-to", "v2", "-duration", "12s")).To(Equal(command.ExitOK))
		Expect(stdout.String()).To(ContainSubstring("12s at a:1"))
		Expect(run("rollout", "status", "search", "-api", "a:1", "-output", "json")).To(Equal(command.ExitOK))
		Expect(stdout.String()).To(ContainSubstring("in_progress"))
	})

	It("resolves a call only to a valid state", func() {
		Expect(run("call", "resolve", "-state", "x", "acme", "k", "maybe")).To(Equal(command.ExitUsage))
		Expect(api.resolved).To(BeEmpty())
		Expect(run("call", "resolve", "-state", "x", "acme", "k", "finished", "-status", "201")).To(Equal(command.ExitOK))
		Expect(api.resolved[0].Status).To(Equal(201))
	})
})
