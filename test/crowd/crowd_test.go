package crowd

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/platform/standin"
)

const (
	// bodyBytes is the size limit of bodies, shortBy how far before it the senders stop.
	bodyBytes = 4 << 20
	shortBy   = 64 << 10
	bodies    = 60
	// connections is the size of the crowds that use up descriptors.
	connections = 300
	// sendTime bounds the time for which a client tries to send, holdTime is how long the crowd stays after it.
	sendTime = 4 * time.Second
	holdTime = 2 * time.Second
)

// client is the behaviour of one client of a crowd on its connection, which stays open until the
// crowd leaves. An error ends it: a refused client is no failure of the test.
type client func(c net.Conn) error

// crowd opens n connections to addr, runs the client on each, and checks the process.
func crowd(t *testing.T, p *testsite.Process, addr string, n int, run client, ordinary func() error) {
	g := NewWithT(t)
	u := &usage{pid: p.PID()}
	var conns []net.Conn
	var sending sync.WaitGroup
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
		sending.Wait()
	}()
	for range n {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue // refused
		}
		conns = append(conns, c)
		_ = c.SetWriteDeadline(time.Now().Add(sendTime))
		sending.Go(func() { _ = run(c) })
	}
	for end := time.Now().Add(sendTime + holdTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		u.sample()
	}
	g.Expect(p.Running()).To(BeTrue(), "the process has ended")
	g.Eventually(ordinary, "30s", "200ms").Should(Succeed(), "no ordinary request is answered")
	t.Logf("peak %d MB of %d, descriptors %d of %d", u.peakMB(), memoryMB, u.fds, maxFDs)
	g.Expect(u.peakMB()).To(And(BeNumerically(">", 0), BeNumerically("<", memoryMB)), "MB of the peak resident set")
	g.Expect(u.fds).To(BeNumerically("<", maxFDs), "open descriptors")
	g.Expect(p.Running()).To(BeTrue(), "the process has ended")
}

// head returns the head of a request of an ordinary caller, with further lines that end with CRLF.
func head(path, lines string) string {
	return standin.RawHead(path, apiKey, lines)
}

func write(c net.Conn, text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// shortBody sends a body in pieces and stops just short of its end.
func shortBody(path string, declared, piece int) client {
	return func(c net.Conn) error {
		if err := write(c, head(path, fmt.Sprintf("Content-Length: %d\r\n", declared))); err != nil {
			return err
		}
		text := strings.Repeat("x", piece)
		for sent := 0; sent+piece <= declared-shortBy; sent += piece {
			if err := write(c, text); err != nil {
				return err
			}
		}
		return nil
	}
}

// chunkedBody sends chunks of a body without its end.
func chunkedBody(path string, size, chunk int) client {
	return func(c net.Conn) error {
		if err := write(c, head(path, "Transfer-Encoding: chunked\r\n")); err != nil {
			return err
		}
		text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
		for sent := 0; sent+chunk <= size; sent += chunk {
			if err := write(c, text); err != nil {
				return err
			}
		}
		return nil
	}
}

// manyFields sends a head of very many short fields; a complete one has a body that never comes.
func manyFields(path string, size int, complete bool) client {
	return func(c net.Conn) error {
		h := head(path, fmt.Sprintf("Content-Length: %d\r\n", shortBy))
		var b strings.Builder
		b.WriteString(strings.TrimSuffix(h, "\r\n"))
		for i := 0; b.Len() < size; i++ {
			fmt.Fprintf(&b, "%x:\r\n", i)
		}
		if complete {
			b.WriteString("\r\n")
		}
		return write(c, b.String())
	}
}

// pipelined sends requests without reading the responses.
func pipelined(path, method string) client {
	return func(c net.Conn) error {
		request := strings.Replace(head(path, ""), "POST", method, 1)
		for {
			if err := write(c, request); err != nil {
				return err
			}
		}
	}
}

// slowSender sends the beginning of a request one byte at a time.
func slowSender(beginning string) client {
	return func(c net.Conn) error {
		if err := write(c, beginning); err != nil {
			return err
		}
		for {
			time.Sleep(time.Second)
			if err := write(c, "x"); err != nil {
				return err
			}
		}
	}
}

// slowReader sends a request and reads no response.
func slowReader(path, method string) client {
	return func(c net.Conn) error {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		return write(c, strings.Replace(head(path, ""), "POST", method, 1))
	}
}

// silent only keeps its connection open.
func silent(net.Conn) error { return nil }

const (
	route   = "/look/x"
	noRoute = "/none/x"
	stream  = "/draft/x"
)

// Guards against bodies that are allocated as declared, or that all requests together hold without a bound.
func TestBodiesInOnePieceAtARoute(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.front(), bodies, shortBody(route, bodyBytes, bodyBytes-shortBy), s.requestFromGateway)
}

// Guards against bodies without a bound that arrive in small pieces, of streams as well.
func TestBodiesInSmallPiecesAtARoute(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.front(), bodies, shortBody(stream, bodyBytes, 4<<10), s.requestFromGateway)
}

// Guards against buffers of chunked bodies that grow without a common bound.
func TestBodiesInChunksAtARoute(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.front(), bodies, chunkedBody(route, bodyBytes-shortBy, 16<<10), s.requestFromGateway)
}

// Guards against memory for bodies far over the limit.
func TestBodiesFarOverTheLimitAtARoute(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.front(), bodies, chunkedBody(route, 64<<20, 64<<10), s.requestFromGateway)
}

// Guards against bodies that are kept although no route is known, and connections that wait for their rest.
func TestBodiesAtAPathWithoutARoute(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.front(), connections, shortBody(noRoute, bodyBytes, 32<<10), s.requestFromGateway)
}

// Guards against the memory of parsed fields of heads that are still being sent.
func TestUnfinishedHeadsOfManyFields(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.front(), connections, manyFields(route, 60<<10, false), s.requestFromGateway)
}

// Guards against the memory of parsed fields of requests whose bodies never come.
func TestHeadsOfManyFieldsWithoutTheirBodies(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.front(), connections, manyFields(route, 60<<10, true), s.requestFromGateway)
}

// Guards against connections on which responses are never read, without a bound on their number.
func TestPipelinedRequestsAtARoute(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.front(), connections, pipelined(route, "POST"), s.requestFromGateway)
}

// Guards against slow heads that use up the descriptors.
func TestSlowHeadsAtTheGateway(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.front(), connections, slowSender("POST /look/x HTTP/1.1\r\nX: "), s.requestFromGateway)
}

// Guards against slow bodies that use up the descriptors.
func TestSlowBodiesAtARoute(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.front(), connections, slowSender(head(route, "Content-Length: 100000\r\n")), s.requestFromGateway)
}

// Guards against callers that don't read long responses and use up descriptors and connections to targets.
func TestSlowReadersOfLongResponses(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.front(), connections, slowReader("/look/big", "POST"), s.requestFromGateway)
}

// Guards against callers that don't read streams.
func TestSlowReadersOfStreams(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.front(), connections, slowReader("/draft/big", "POST"), s.requestFromGateway)
}

// Guards against connections without a request that use up the descriptors.
func TestSilentConnectionsAtTheGateway(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.front(), connections, silent, s.requestFromGateway)
}

// Guards against a readiness address that anyone can fill with connections.
func TestSilentConnectionsAtTheReadinessAddress(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.readiness(), connections, silent, get(s.readiness(), "/v1/readyz"))
}

// Guards against heads of net/http's own limit of 1 MB at the readiness address.
func TestHeadsOfManyFieldsAtTheReadinessAddress(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.readiness(), bodies, manyFields("/v1/readyz", 1000<<10, false), get(s.readiness(), "/v1/readyz"))
}

// Guards against bodies that nobody reads at the readiness address and keep its connections.
func TestSlowBodiesAtTheReadinessAddress(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.readiness(), connections, slowSender(head("/v1/readyz", "Content-Length: 100000\r\n")), get(s.readiness(), "/v1/readyz"))
}

// Guards against pipelined requests for metrics, whose responses are long.
func TestPipelinedRequestsAtTheMetricsPort(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.metrics(), connections, pipelined("/metrics", "GET"), get(s.metrics(), "/metrics"))
}

// Guards against heads of net/http's own limit of 1 MB at the metrics port.
func TestHeadsOfManyFieldsAtTheMetricsPort(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.metrics(), bodies, manyFields("/metrics", 1000<<10, false), get(s.metrics(), "/metrics"))
}

// Guards against a metrics port that anyone can fill with connections.
func TestSilentConnectionsAtTheMetricsPort(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, s.metrics(), connections, silent, get(s.metrics(), "/metrics"))
}

// Guards against configurations in arrival that together fill a controller.
func TestBodiesAtTheOperatorAPI(t *testing.T) {
	s := startSite(t)
	send := func(c net.Conn) error {
		h := strings.Replace(head("/v1/config", fmt.Sprintf("Content-Length: %d\r\n", 8<<20)), "POST", "PUT", 1)
		if err := write(c, h); err != nil {
			return err
		}
		return write(c, strings.Repeat("x", 8<<20-shortBy))
	}
	crowd(t, s.controller, s.control(), bodies, send, get(s.control(), "/v1/config"))
}

// Guards against the memory of parsed fields at the operator API.
func TestHeadsOfManyFieldsAtTheOperatorAPI(t *testing.T) {
	s := startSite(t)
	crowd(t, s.controller, s.control(), connections, manyFields("/v1/config", 60<<10, false), get(s.control(), "/v1/config"))
}

// Guards against connections without a request that use up a controller's descriptors.
func TestSilentConnectionsAtTheOperatorAPI(t *testing.T) {
	s := startSite(t)
	crowd(t, s.controller, s.control(), connections, silent, get(s.control(), "/v1/config"))
}

// unfinishedFrame sends a frame of the internal protocol and stops just short of its end.
func unfinishedFrame(size int) client {
	return func(c net.Conn) error {
		var prefix [4]byte
		binary.BigEndian.PutUint32(prefix[:], uint32(size))
		if _, err := c.Write(prefix[:]); err != nil {
			return err
		}
		return write(c, strings.Repeat("x", size-shortBy))
	}
}

// Guards against frames that are allocated as declared, and have no common bound.
func TestFramesAtTheInternalPortOfAController(t *testing.T) {
	s := startSite(t)
	crowd(t, s.controller, address(s.controllerIP, standin.InternalPort), 8, unfinishedFrame(60<<20), get(s.control(), "/v1/config"))
}

// Guards against frames of peers that a gateway does not know.
func TestFramesAtTheInternalPortOfAGateway(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, address(s.gatewayIP, standin.InternalPort), 8, unfinishedFrame(60<<20), s.requestFromGateway)
}

// Guards against silent connections at a controller's internal port.
func TestSilentConnectionsAtTheInternalPortOfAController(t *testing.T) {
	s := startSite(t)
	crowd(t, s.controller, address(s.controllerIP, standin.InternalPort), connections, silent, get(s.control(), "/v1/config"))
}

// Guards against silent connections at a gateway's internal port.
func TestSilentConnectionsAtTheInternalPortOfAGateway(t *testing.T) {
	s := startSite(t)
	crowd(t, s.gateway, address(s.gatewayIP, standin.InternalPort), connections, silent, s.requestFromGateway)
}
