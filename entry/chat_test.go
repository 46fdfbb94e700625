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
		b := newTestbed(Timing{})
		b.startTarget("t1", "m", "", engineReplying("Hel", "lo"))
		b.waitForConfig()
		resp, body := b.chat(`{"model":"proof","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"hi"}]}`, nil)
		Expect(resp.StatusCode).To(Equal(200), body)
		Expect(resp.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(resp.Header.Get("Figlb-Turn")).To(Equal("1"))
		Expect(streamedText(body)).To(Equal("Hello"))
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

	ginkgo.It("answers non-streaming requests and forwards unknown fields", func() {
		// Guards against changing or dropping fields, tool calls or messages.
		b := newTestbed(Timing{})
		var got map[string]json.RawMessage
		b.startTarget("t1", "m", "", func(w http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body)
			_ = json.Unmarshal(data, &got)
			writeSSE(w, `{"id":"x","choices":[{"delta":{"role":"assistant","tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"f","arguments":"{\"a\""}}]}}]}`)
			writeSSE(w, `{"id":"x","choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]}}]}`)
			writeSSE(w, `{"id":"x","choices":[{"delta":{},"finish_reason":"tool_calls"}]}`)
			writeSSE(w, `{"id":"x","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4}}`)
			writeSSE(w, "[DONE]")
		})
		b.waitForConfig()
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
		// Guards against losing the history, and against sending it to the engine twice
		// if the caller always sends all messages.
		b := newTestbed(Timing{})
		var prompts []string
		b.startTarget("t1", "m", "", func(w http.ResponseWriter, r *http.Request) {
			var q struct {
				Messages json.RawMessage
				Session  string `json:"session_id"`
			}
			_ = json.NewDecoder(r.Body).Decode(&q)
			prompts = append(prompts, q.Session+string(q.Messages))
			engineReplying("A")(w, r)
		})
		b.waitForConfig()
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
		b.entry.histories.drop(historyKey("ocl", id)) // the cache is empty, as on another entry
		full := `{"role":"assistant","content":"A","refusal":null}`
		Expect(send(header{"Figlb-Program": id}, u1, full, u2, full, u3).Header.Get("Figlb-Turn")).To(Equal("3"))
		Expect(prompts).To(Equal([]string{
			id + "[" + u1 + "]",
			id + "[" + strings.Join([]string{u1, a, u2}, ",") + "]",
			id + "[" + strings.Join([]string{u1, a, u2, a, u3}, ",") + "]",
		}))
		// A resend of an answered turn returns the recorded answer without a dispatch.
		send(header{"Figlb-Program": id, "Figlb-Turn": "2"}, u2)
		Expect(prompts).To(HaveLen(3))
		// The prompt of a turn is one of the prefixes of the next turn.
		Expect(b.scheduler.assigns[2].Prefix).To(ContainElement(b.scheduler.assigns[1].Prefix[len(b.scheduler.assigns[1].Prefix)-1]))
	})
})

var _ = ginkgo.Describe("caller keys", func() {
	ginkgo.It("never appear in requests to targets, in logs or in errors", func() {
		// Guards against leaking a caller's key.
		b := newTestbed(Timing{})
		var seen strings.Builder
		dump := func(w http.ResponseWriter, r *http.Request) {
			_ = r.Write(&seen)
			w.WriteHeader(500)
		}
		b.startTarget("t1", "m", "", dump)
		b.startTarget("p1", "", "tools", dump)
		b.declareService(structs.Service{Name: "tools", Prefix: "/tools", Repeatable: true})
		h := header{"Cookie": "c=" + testKey, "Proxy-Authorization": testKey, "X-Api-Key": testKey, "X-Other": "a " + testKey, "X-Kept": "kept", "Idempotency-Key": "i1"}
		_, body1 := b.do("GET", "/tools/x?a=1&api_key="+testKey+"&b="+testKey, "", h)
		_, body2 := b.chat(nonStreamingBody, h)
		_, body3 := b.chat(nonStreamingBody, header{"Authorization": "Bearer fk-wrong-key-1"})
		_, body4 := b.do("GET", "/tools/"+testKey, "", nil)
		Expect(seen.String()).To(ContainSubstring("X-Kept: kept"))
		Expect(seen.String()).To(ContainSubstring("/tools/x?a=1 "))
		Expect(seen.String()).NotTo(ContainSubstring("i1"))
		for _, text := range []string{seen.String(), b.logs.String(), body1, body2, body3, body4} {
			Expect(text).NotTo(Or(ContainSubstring(testKey), ContainSubstring("fk-wrong-key")))
		}
	})

	ginkgo.It("end their running streams when they are revoked", func() {
		// Guards against a revoked key that continues to work on an open connection, and
		// against usage that is not charged: the usage of a cancelled turn is not known.
		b := newTestbed(Timing{})
		left := make(chan struct{})
		b.startTarget("t1", "m", "", func(w http.ResponseWriter, r *http.Request) {
			writeSSE(w, deltaChunk("a"))
			<-r.Context().Done()
			close(left)
		})
		b.waitForConfig()
		resp, err := http.DefaultTransport.RoundTrip(b.request("POST", "/v1/chat/completions", streamBody, nil))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		b.state.set(structs.KindKey, "k1", structs.Key{ID: "k1", Hash: "x", Organisation: "ocl", Revoked: true})
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(errorOf(string(body))).To(HaveKeyWithValue("code", "key_revoked"))
		Eventually(left, "4s").Should(BeClosed())
		var fin []structs.FinishTurn
		Eventually(func() int { b.state.withLock(func() { fin = b.state.finishes }); return len(fin) }, "4s").Should(Equal(1))
		Expect(fin[0].UsageKnown).To(BeFalse())
		Expect(fin[0].Failure).NotTo(BeNil())
		resp2, _ := b.chat(nonStreamingBody, nil)
		Expect(resp2.StatusCode).To(Equal(401))
	})
})
