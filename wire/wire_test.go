package wire_test

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/pki"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/wire"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wire")
}

func serve(conf *tls.Config) *wire.Server {
	s, err := wire.Listen("127.0.0.1:0", conf, logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	s.Handle("echo", func(_ context.Context, body []byte) (any, error) {
		var text string
		err := msgpack.Unmarshal(body, &text)
		return text, err
	})
	s.Handle("refuse", func(context.Context, []byte) (any, error) {
		return nil, errs.New(errs.RateLimited, "slow down", "too many requests").WithRetryAfter(time.Second)
	})
	s.Handle("hang", func(ctx context.Context, _ []byte) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	go s.Serve()
	DeferCleanup(s.Close)
	return s
}

var _ = Describe("calls", func() {
	var (
		server *wire.Server
		client *wire.Client
		ctx    context.Context
	)
	BeforeEach(func() {
		server = serve(nil)
		client = wire.NewClient(server.Addr(), nil)
		DeferCleanup(client.Close)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
		DeferCleanup(cancel)
	})

	It("keeps replies of concurrent calls apart", func() {
		const calls = 200
		results := make(chan error, calls)
		for i := range calls {
			go func() {
				want, got := string(rune('a'+i%26)), ""
				err := client.Call(ctx, "echo", want, &got)
				if err == nil && got != want {
					err = errors.Errorf("got %q, want %q", got, want)
				}
				results <- err
			}()
		}
		for range calls {
			Expect(<-results).To(Succeed())
		}
	})

	It("carries typed errors", func() {
		err := client.Call(ctx, "refuse", nil, nil)
		Expect(errs.Is(err, errs.RateLimited)).To(BeTrue())
		Expect(errs.From(err).RetryAfter).To(Equal(time.Second))
	})

	It("names unknown methods", func() {
		Expect(client.Call(ctx, "none", nil, nil)).To(MatchError(ContainSubstring(`unknown method "none"`)))
	})

	It("ends a call at its deadline and keeps the connection usable", func() {
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		Expect(client.Call(short, "hang", nil, nil)).NotTo(Succeed())
		var got string
		Expect(client.Call(ctx, "echo", "x", &got)).To(Succeed())
	})

	It("tells a request that has not left from one that may have arrived", func() {
		started := make(chan error, 1)
		go func() { started <- client.Call(ctx, "hang", nil, nil) }()
		time.Sleep(100 * time.Millisecond)
		server.Close()
		Expect(errors.Is(<-started, wire.ErrConnLost)).To(BeTrue(), "the call was sent")
		time.Sleep(100 * time.Millisecond)
		Expect(errors.Is(client.Call(ctx, "echo", "x", nil), wire.ErrNotSent)).To(BeTrue(), "nobody listens")
	})

	It("reconnects after the peer has restarted", func() {
		addr := server.Addr()
		var got string
		Expect(client.Call(ctx, "echo", "x", &got)).To(Succeed())
		server.Close()
		again, err := wire.Listen(addr, nil, logr.Discard())
		Expect(err).NotTo(HaveOccurred())
		again.Handle("echo", func(context.Context, []byte) (any, error) { return "again", nil })
		go again.Serve()
		defer again.Close()
		Eventually(func() string {
			_ = client.Call(ctx, "echo", "x", &got)
			return got
		}).Should(Equal("again"))
	})

	It("ends a connection that announces an impossible frame, without allocating it", func() {
		conn, err := net.Dial("tcp", server.Addr())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		var head [4]byte
		binary.BigEndian.PutUint32(head[:], 1<<31)
		_, err = conn.Write(head[:])
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = conn.Read(head[:])
		Expect(err).To(MatchError(ContainSubstring("EOF")))
	})
})

var _ = Describe("mutual TLS", func() {
	var dir string
	identity := func(authority, name string) *tls.Config {
		Expect(pki.Issue(authority, name, pki.RoleEntry, []net.IP{net.IPv4(127, 0, 0, 1)})).To(Succeed())
		conf, err := pki.Config(settings.TLS{
			CA:   authority + "/ca.pem",
			Cert: authority + "/" + name + ".pem",
			Key:  authority + "/" + name + ".key",
		})
		Expect(err).NotTo(HaveOccurred())
		return conf
	}
	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		Expect(pki.CreateCA(dir, "test")).To(Succeed())
	})

	It("serves a peer of the same site", func() {
		server := serve(identity(dir, "server"))
		client := wire.NewClient(server.Addr(), identity(dir, "client"))
		defer client.Close()
		var got string
		Expect(client.Call(context.Background(), "echo", "x", &got)).To(Succeed())
		Expect(got).To(Equal("x"))
	})

	It("refuses a peer of another authority and one without a certificate", func() {
		other := GinkgoT().TempDir()
		Expect(pki.CreateCA(other, "other")).To(Succeed())
		server := serve(identity(dir, "server"))
		foreign := identity(other, "client")
		foreign.RootCAs = identity(dir, "x").RootCAs // trusts the server, is not trusted by it
		for _, conf := range []*tls.Config{foreign, {RootCAs: foreign.RootCAs}, nil} {
			client := wire.NewClient(server.Addr(), conf)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			Expect(client.Call(ctx, "echo", "x", nil)).NotTo(Succeed())
			cancel()
			client.Close()
		}
	})

	It("does not replace an existing authority", func() {
		Expect(pki.CreateCA(dir, "test")).To(MatchError(ContainSubstring("already")))
	})
})
