package wire_test

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"strings"
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

func startServer(tlsConf *tls.Config) *wire.Server {
	s, err := wire.Listen("127.0.0.1:0", tlsConf, logr.Discard())
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

var _ = Describe("RPC transport", func() {
	var (
		server *wire.Server
		client *wire.Client
		ctx    context.Context
	)
	BeforeEach(func() {
		server = startServer(nil)
		client = wire.NewClient(server.Addr(), nil)
		DeferCleanup(client.Close)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
		DeferCleanup(cancel)
	})

	It("matches replies to concurrent requests", func() {
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

	It("returns the typed error of the peer", func() {
		err := client.Call(ctx, "refuse", nil, nil)
		Expect(errs.Is(err, errs.RateLimited)).To(BeTrue())
		Expect(errs.From(err).RetryAfter).To(Equal(time.Second))
	})

	It("reports the name of an unknown method", func() {
		Expect(client.Call(ctx, "none", nil, nil)).To(MatchError(ContainSubstring(`unknown method "none"`)))
	})

	It("ends a call at its deadline and keeps the connection usable", func() {
		shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		Expect(client.Call(shortCtx, "hang", nil, nil)).NotTo(Succeed())
		var got string
		Expect(client.Call(ctx, "echo", "x", &got)).To(Succeed())
	})

	It("distinguishes requests that were not sent from those that may have arrived", func() {
		callResult := make(chan error, 1)
		go func() { callResult <- client.Call(ctx, "hang", nil, nil) }()
		time.Sleep(100 * time.Millisecond)
		server.Close()
		Expect(errors.Is(<-callResult, wire.ErrConnLost)).To(BeTrue(), "the request was sent")
		time.Sleep(100 * time.Millisecond)
		Expect(errors.Is(client.Call(ctx, "echo", "x", nil), wire.ErrNotSent)).To(BeTrue(), "no server is listening")
	})

	It("reconnects after a restart of the peer", func() {
		addr := server.Addr()
		var got string
		Expect(client.Call(ctx, "echo", "x", &got)).To(Succeed())
		server.Close()
		restarted, err := wire.Listen(addr, nil, logr.Discard())
		Expect(err).NotTo(HaveOccurred())
		restarted.Handle("echo", func(context.Context, []byte) (any, error) { return "again", nil })
		go restarted.Serve()
		defer restarted.Close()
		Eventually(func() string {
			_ = client.Call(ctx, "echo", "x", &got)
			return got
		}).Should(Equal("again"))
	})

	It("closes a connection that announces a frame above the size limit, without reading the frame", func() {
		conn, err := net.Dial("tcp", server.Addr())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		var header [4]byte
		binary.BigEndian.PutUint32(header[:], 1<<31)
		_, err = conn.Write(header[:])
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = conn.Read(header[:])
		Expect(err).To(MatchError(ContainSubstring("EOF")))
	})
})

var _ = Describe("Mutual TLS", func() {
	var dir string
	issueConfig := func(caDir, name string) *tls.Config {
		Expect(pki.Issue(caDir, name, pki.RoleEntry, []net.IP{net.IPv4(127, 0, 0, 1)})).To(Succeed())
		conf, err := pki.TLSConfig(settings.TLS{
			CA:   caDir + "/ca.pem",
			Cert: caDir + "/" + name + ".pem",
			Key:  caDir + "/" + name + ".key",
		})
		Expect(err).NotTo(HaveOccurred())
		return conf
	}
	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		Expect(pki.CreateCA(dir, "test")).To(Succeed())
	})

	It("accepts a peer of the same site", func() {
		server := startServer(issueConfig(dir, "server"))
		client := wire.NewClient(server.Addr(), issueConfig(dir, "client"))
		defer client.Close()
		var got string
		Expect(client.Call(context.Background(), "echo", "x", &got)).To(Succeed())
		Expect(got).To(Equal("x"))
	})

	It("rejects a peer with a certificate of another CA, without a certificate or without TLS", func() {
		otherCA := GinkgoT().TempDir()
		Expect(pki.CreateCA(otherCA, "other")).To(Succeed())
		server := startServer(issueConfig(dir, "server"))
		foreign := issueConfig(otherCA, "client")
		foreign.RootCAs = issueConfig(dir, "x").RootCAs // the client trusts the server, but the server does not trust the client
		for _, conf := range []*tls.Config{foreign, {RootCAs: foreign.RootCAs}, nil} {
			client := wire.NewClient(server.Addr(), conf)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			Expect(client.Call(ctx, "echo", "x", nil)).NotTo(Succeed())
			cancel()
			client.Close()
		}
	})

	It("does not replace an existing CA", func() {
		Expect(pki.CreateCA(dir, "test")).To(MatchError(ContainSubstring("already")))
	})
})

var _ = Describe("streams", func() {
	// Guards against bytes that get lost between the reply and the stream, and against a rejected stream that
	// looks open.
	It("carry the bytes of both sides after the server has accepted them", func() {
		server, err := wire.Listen("127.0.0.1:0", nil, logr.Discard())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		server.HandleStream("upper", func(_ context.Context, body []byte) (func(net.Conn), error) {
			var allowed bool
			if err := msgpack.Unmarshal(body, &allowed); err != nil || !allowed {
				return nil, errs.New(errs.Overloaded, "use another host", "no room")
			}
			return func(c net.Conn) {
				buf := make([]byte, 64)
				n, _ := c.Read(buf)
				_, _ = c.Write([]byte(strings.ToUpper(string(buf[:n]))))
			}, nil
		})
		go server.Serve()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)

		conn, err := wire.OpenStream(ctx, server.Addr(), nil, "upper", true)
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write([]byte("hello"))
		Expect(err).NotTo(HaveOccurred())
		out, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(out)).To(Equal("HELLO"))

		_, err = wire.OpenStream(ctx, server.Addr(), nil, "upper", false)
		Expect(errs.Is(err, errs.Overloaded)).To(BeTrue(), "%v", err)
		_, err = wire.OpenStream(ctx, server.Addr(), nil, "unknown", true)
		Expect(errs.Is(err, errs.NotFound)).To(BeTrue(), "%v", err)
	})

	// Guards against a caller that waits for longer than its time for a server that does not answer.
	It("are given up when the context ends", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err = wire.OpenStream(ctx, ln.Addr().String(), nil, "upper", true)
		Expect(err).To(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
})
