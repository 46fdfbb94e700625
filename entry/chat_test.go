package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/structs"
)

var _ = ginkgo.Describe("chat completions", func() {
	ginkgo.It("streams chunks as an OpenAI client expects them", func() {
		// Guards against a stream that an unmodified client cannot read.
		b := newBed(Timing{})
		b.target("t1", "m", "", engineSaying("Hel", "lo"))
		b.settle()
		resp, body := b.chat(`{"model":"proof","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"hi"}]}`, nil)
		Expect(resp.StatusCode).To(Equal(200), body)
		Expect(resp.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(resp.Header.Get("Figlb-Turn")).To(Equal("1"))
		Expect(textOf(body)).To(Equal("Hello"))
		Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
		events := strings.Split(strings.TrimSpace(body), "\n\n")
		var finish, usage map[string]any
		Expect(json.Unmarshal([]byte(events[len(events)-3][len("data: "):]), &finish)).To(Succeed())
		Expect(finish["choices"].([]any)[0]).To(HaveKeyWithValue("finish_reason", "stop"))
		Expect(finish["object"]).To(Equal("chat.completion.chunk"))
		Expect(json.Unmarshal([]byte(events[len(events)-2][len("data: "):]), &usage)).To(Succeed())
		Expect(usage["usage"]).To(HaveKeyWithValue("total_tokens", 7.0))
		Expect(usage["choices"]).To(BeEmpty())
	})

	ginkgo.It("answers whole requests and passes unknown fields on", func() {
		// Guards against fields, tool calls or messages that figlb changes or drops.
		b := newBed(Timing{})
		var got map[string]json.RawMessage
		b.target("t1", "m", "", func(w http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body)
			_ = json.Unmarshal(data, &got)
			sse(w, `{"id":"x","choices":[{"delta":{"role":"assistant","tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"f","arguments":"{\"a\""}}]}}]}`)
			sse(w, `{"id":"x","choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]}}]}`)
			sse(w, `{"id":"x","choices":[{"delta":{},"finish_reason":"tool_calls"}]}`)
			sse(w, `{"id":"x","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4}}`)
			sse(w, "[DONE]")
		})
		b.settle()
		message := `{"role":"user","content":[{"type":"text","text":"a"}],"x":1.50}`
		resp, body := b.chat(`{"model":"proof","temperature":0.70,"tools":[{"type":"function"}],"messages":[`+message+`]}`, nil)
		Expect(resp.StatusCode).To(Equal(200), body)
		var v struct {
			Object  string
			Choices []struct {
				Message      map[string]any
				FinishReason string `json:"finish_reason"`
			}
		}
		Expect(json.Unmarshal([]byte(body), &v)).To(Succeed())
		Expect(v.Object).To(Equal("chat.completion"))
		Expect(v.Choices[0].FinishReason).To(Equal("tool_calls"))
		Expect(body).To(ContainSubstring(`"arguments":"{\"a\":1}"`))
		Expect(string(got["temperature"])).To(Equal("0.70"))
		Expect(string(got["tools"])).To(Equal(`[{"type":"function"}]`))
		Expect(string(got["messages"])).To(Equal("[" + message + "]"))
		Expect(string(got["model"])).To(Equal(`"m"`))
	})

	ginkgo.It("runs the turns of a program with its history", func() {
		// Guards against lost history, and against history that is sent twice by a
		// caller that always sends all messages.
		b := newBed(Timing{})
		var prompts []string
		b.target("t1", "m", "", func(w http.ResponseWriter, r *http.Request) {
			var q struct {
				Messages json.RawMessage
				Session  string `json:"session_id"`
			}
			_ = json.NewDecoder(r.Body).Decode(&q)
			prompts = append(prompts, q.Session+string(q.Messages))
			engineSaying("A")(w, r)
		})
		b.settle()
		resp, body := b.do("POST", "/v1/programs", `{"service":"proof"}`, nil)
		Expect(resp.StatusCode).To(Equal(201), body)
		id := resp.Header.Get("Figlb-Program")
		u1, u2, u3 := `{"role":"user","content":"1"}`, `{"role":"user","content":"2"}`, `{"role":"user","content":"3"}`
		a := `{"content":"A","role":"assistant"}`
		send := func(h header, messages ...string) *http.Response {
			resp, body := b.chat(`{"model":"proof","messages":[`+strings.Join(messages, ",")+`]}`, h)
			Expect(resp.StatusCode).To(Equal(200), body)
			return resp
		}
		send(header{"Figlb-Program": id}, u1)
		send(header{"Figlb-Program": id, "Figlb-Turn": "2"}, u2)
		b.e.histories.drop(historyKey("ocl", id)) // as on another entry
		full := `{"role":"assistant","content":"A","refusal":null}`
		Expect(send(header{"Figlb-Program": id}, u1, full, u2, full, u3).Header.Get("Figlb-Turn")).To(Equal("3"))
		Expect(prompts).To(Equal([]string{
			id + "[" + u1 + "]",
			id + "[" + strings.Join([]string{u1, a, u2}, ",") + "]",
			id + "[" + strings.Join([]string{u1, a, u2, a, u3}, ",") + "]",
		}))
		// A resend of an answered turn returns the record and runs nothing.
		send(header{"Figlb-Program": id, "Figlb-Turn": "2"}, u2)
		Expect(prompts).To(HaveLen(3))
		// The prompt of a turn is a known prefix of the next one.
		Expect(b.sched.assigns[2].Prefix).To(ContainElement(b.sched.assigns[1].Prefix[len(b.sched.assigns[1].Prefix)-1]))
	})
})

var _ = ginkgo.Describe("keys", func() {
	ginkgo.It("never lets a key leave the entry", func() {
		// Guards against a caller's key in a target's request, a log line or an error.
		b := newBed(Timing{})
		var seen strings.Builder
		dump := func(w http.ResponseWriter, r *http.Request) {
			_ = r.Write(&seen)
			w.WriteHeader(500)
		}
		b.target("t1", "m", "", dump)
		b.target("p1", "", "tools", dump)
		b.service(structs.Service{Name: "tools", Prefix: "/tools", Repeatable: true})
		h := header{"Cookie": "c=" + testKey, "Proxy-Authorization": testKey, "X-Api-Key": testKey, "X-Other": "a " + testKey, "X-Kept": "kept", "Idempotency-Key": "i1"}
		_, body1 := b.do("GET", "/tools/x?a=1&api_key="+testKey+"&b="+testKey, "", h)
		_, body2 := b.chat(wholeBody, h)
		_, body3 := b.chat(wholeBody, header{"Authorization": "Bearer fk-wrong-key-1"})
		_, body4 := b.do("GET", "/tools/"+testKey, "", nil)
		Expect(seen.String()).To(ContainSubstring("X-Kept: kept"))
		Expect(seen.String()).To(ContainSubstring("/tools/x?a=1 "))
		Expect(seen.String()).NotTo(ContainSubstring("i1"))
		for _, text := range []string{seen.String(), b.logs.String(), body1, body2, body3, body4} {
			Expect(text).NotTo(Or(ContainSubstring(testKey), ContainSubstring("fk-wrong-key")))
		}
	})

	ginkgo.It("ends the stream of a revoked key", func() {
		// Guards against a withdrawn key that goes on working on a connection that
		// was open before, and against use that is not counted.
		b := newBed(Timing{})
		left := make(chan struct{})
		b.target("t1", "m", "", func(w http.ResponseWriter, r *http.Request) {
			sse(w, delta("a"))
			<-r.Context().Done()
			close(left)
		})
		b.settle()
		resp, err := http.DefaultTransport.RoundTrip(b.request("POST", "/v1/chat/completions", streamBody, nil))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		b.state.set(structs.KindKey, "k1", structs.Key{ID: "k1", Hash: "x", Organisation: "ocl", Revoked: true})
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(errorOf(string(body))).To(HaveKeyWithValue("code", "key_revoked"))
		Eventually(left, "4s").Should(BeClosed())
		var fin []structs.FinishTurn
		Eventually(func() int { b.state.change(func() { fin = b.state.finishes }); return len(fin) }, "4s").Should(Equal(1))
		Expect(fin[0].UsageKnown).To(BeFalse())
		Expect(fin[0].Failure).NotTo(BeNil())
		resp2, _ := b.chat(wholeBody, nil)
		Expect(resp2.StatusCode).To(Equal(401))
	})
})
