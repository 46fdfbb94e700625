package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/structs"
)

// rawRequest sends text over a new connection and returns the status and body of the
// response, which must arrive within 4 s.
func rawRequest(addr, text string) (int, string) {
	c, err := net.Dial("tcp", addr)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	if tcp, ok := c.(*net.TCPConn); ok && strings.Contains(text, "X-Half-Close") {
		_ = tcp.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

var _ = ginkgo.Describe("invalid input", func() {
	const user = `{"role":"user","content":"hi"}`
	chat := func(body string) func(*testbed) (*http.Response, string) {
		return func(b *testbed) (*http.Response, string) { return b.chat(body, nil) }
	}
	get := func(path string) func(*testbed) (*http.Response, string) {
		return func(b *testbed) (*http.Response, string) { return b.do("GET", path, "", nil) }
	}
	ginkgo.DescribeTable("is refused with a typed error and never reaches a target",
		func(send func(*testbed) (*http.Response, string), status int, code string) {
			// Guards against invalid requests that are run, answered with an untyped error
			// or charged to the budget of the organisation.
			b := newTestbed(Timing{})
			asked := false
			b.startTarget("t1", "m", "", func(http.ResponseWriter, *http.Request) { asked = true })
			b.waitForConfig()
			resp, body := send(b)
			Expect(resp.StatusCode).To(Equal(status), body)
			Expect(errorOf(body)).To(And(HaveKeyWithValue("code", code), HaveKeyWithValue("run", "not_run"),
				HaveKeyWithValue("remedy", Not(BeEmpty())), HaveKeyWithValue("trace_id", HaveLen(32))))
			Expect(asked).To(BeFalse())
			Expect(b.scheduler.assigns).To(BeEmpty())
		},
		ginkgo.Entry("empty body", chat(""), 400, "bad_request"),
		ginkgo.Entry("truncated JSON", chat(nonStreamingBody[:40]), 400, "bad_request"),
		ginkgo.Entry("text after JSON", chat(nonStreamingBody+"x"), 400, "bad_request"),
		ginkgo.Entry("array", chat("[]"), 400, "bad_request"),
		ginkgo.Entry("null", chat("null"), 400, "bad_request"),
		ginkgo.Entry("invalid UTF-8 garbage", chat("\xff\xfe\x00"), 400, "bad_request"),
		ginkgo.Entry("deep nesting", chat(strings.Repeat("[", 20000)), 400, "bad_request"),
		ginkgo.Entry("no messages", chat(`{"model":"proof"}`), 400, "bad_request"),
		ginkgo.Entry("messages of the wrong type", chat(`{"model":"proof","messages":"hi"}`), 400, "bad_request"),
		ginkgo.Entry("a message of the wrong type", chat(`{"model":"proof","messages":["hi"]}`), 400, "bad_request"),
		ginkgo.Entry("a null message", chat(`{"model":"proof","messages":[null]}`), 400, "bad_request"),
		ginkgo.Entry("a message without a role", chat(`{"model":"proof","messages":[{}]}`), 400, "bad_request"),
		ginkgo.Entry("model of the wrong type", chat(`{"model":7,"messages":[`+user+`]}`), 400, "bad_request"),
		ginkgo.Entry("stream of the wrong type", chat(`{"model":"proof","stream":"yes","messages":[`+user+`]}`), 400, "bad_request"),
		ginkgo.Entry("stream options of the wrong type", chat(`{"model":"proof","stream_options":[],"messages":[`+user+`]}`), 400, "bad_request"),
		ginkgo.Entry("negative max_tokens", chat(`{"model":"proof","max_tokens":-1,"messages":[`+user+`]}`), 400, "bad_request"),
		ginkgo.Entry("fractional max_tokens", chat(`{"model":"proof","max_tokens":1.5,"messages":[`+user+`]}`), 400, "bad_request"),
		ginkgo.Entry("several choices", chat(`{"model":"proof","n":2,"messages":[`+user+`]}`), 400, "bad_request"),
		ginkgo.Entry("unknown model", chat(`{"model":"none","messages":[`+user+`]}`), 404, "unknown_model"),
		ginkgo.Entry("oversized body", chat(nonStreamingBody+strings.Repeat(" ", 64<<10)), 413, "body_too_large"),
		ginkgo.Entry("unknown program", func(b *testbed) (*http.Response, string) {
			return b.chat(nonStreamingBody, header{"Figlb-Program": "none"})
		}, 404, "unknown_program"),
		ginkgo.Entry("bad turn number", func(b *testbed) (*http.Response, string) {
			return b.chat(nonStreamingBody, header{"Figlb-Program": "p", "Figlb-Turn": "x"})
		}, 400, "bad_request"),
		ginkgo.Entry("turn out of order", func(b *testbed) (*http.Response, string) {
			resp, _ := b.do("POST", "/v1/programs", `{"service":"proof"}`, nil)
			return b.chat(nonStreamingBody, header{"Figlb-Program": resp.Header.Get("Figlb-Program"), "Figlb-Turn": "3"})
		}, 409, "turn_out_of_order"),
		ginkgo.Entry("ended program", func(b *testbed) (*http.Response, string) {
			resp, _ := b.do("POST", "/v1/programs", `{"service":"proof"}`, nil)
			id := resp.Header.Get("Figlb-Program")
			b.do("POST", "/v1/programs/"+id+"/end", "", nil)
			return b.chat(nonStreamingBody, header{"Figlb-Program": id})
		}, 410, "program_ended"),
		ginkgo.Entry("turn answered with another request", func(b *testbed) (*http.Response, string) {
			_, _ = b.state.OpenProgram(ginkgo.GinkgoT().Context(), "ocl", structs.OpenProgram{ID: "p"})
			_, _ = b.state.BeginTurn(ginkgo.GinkgoT().Context(), "ocl", structs.BeginTurn{Program: "p", Turn: 1, Digest: "d"})
			_, _ = b.state.FinishTurn(ginkgo.GinkgoT().Context(), "ocl", structs.FinishTurn{Program: "p", Turn: 1, Attempt: 1, Answer: []byte("{}")})
			return b.chat(nonStreamingBody, header{"Figlb-Program": "p", "Figlb-Turn": "1"})
		}, 409, "turn_conflict"),
		ginkgo.Entry("a program of another organisation", func(b *testbed) (*http.Response, string) {
			_, _ = b.state.OpenProgram(ginkgo.GinkgoT().Context(), "granite", structs.OpenProgram{ID: "p"})
			return b.do("GET", "/v1/programs/p", "", nil)
		}, 404, "unknown_program"),
		ginkgo.Entry("a program of an unknown service", func(b *testbed) (*http.Response, string) {
			return b.do("POST", "/v1/programs", `{"service":"none"}`, nil)
		}, 404, "unknown_model"),
		ginkgo.Entry("a program with a negative budget", func(b *testbed) (*http.Response, string) {
			return b.do("POST", "/v1/programs", `{"service":"proof","budget_tokens":-1}`, nil)
		}, 400, "bad_request"),
		ginkgo.Entry("a bad wait", get("/v1/programs/p/turns/1?wait=NaN"), 400, "bad_request"),
		ginkgo.Entry("a bad turn", get("/v1/programs/p/turns/0"), 400, "bad_request"),
		ginkgo.Entry("an unknown call", get("/v1/calls/none"), 404, "not_found"),
		ginkgo.Entry("an unknown path", get("/none"), 404, "not_found"),
		ginkgo.Entry("another method", get("/v1/chat/completions"), 404, "not_found"),
		ginkgo.Entry("no key", func(b *testbed) (*http.Response, string) {
			return b.chat(nonStreamingBody, header{"Authorization": ""})
		}, 401, "unauthorized"),
		ginkgo.Entry("an unknown key", func(b *testbed) (*http.Response, string) {
			return b.chat(nonStreamingBody, header{"Authorization": "Bearer x"})
		}, 401, "unauthorized"),
		ginkgo.Entry("another scheme", func(b *testbed) (*http.Response, string) {
			return b.chat(nonStreamingBody, header{"Authorization": "Basic " + testKey})
		}, 401, "unauthorized"),
	)

	ginkgo.DescribeTable("from senders that do not complete the body is rejected in time",
		func(tail string, length, status int, code string) {
			// Guards against senders that hold a connection forever, and against
			// incomplete bodies that are treated as complete.
			b := newTestbed(Timing{})
			text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s", testKey, length, tail)
			start := time.Now()
			got, body := rawRequest(b.server.Addr(), text)
			Expect(got).To(Equal(status), body)
			Expect(errorOf(body)).To(HaveKeyWithValue("code", code))
			Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
			Expect(b.state.begins).To(BeEmpty())
		},
		ginkgo.Entry("slow body", "\r\n"+nonStreamingBody[:20], len(nonStreamingBody), 408, "body_timeout"),
		ginkgo.Entry("truncated body", "X-Half-Close: 1\r\n\r\n"+nonStreamingBody[:20], len(nonStreamingBody), 400, "bad_request"),
		ginkgo.Entry("announced oversized body", "\r\n", 1<<30, 413, "body_too_large"),
	)
})
