package engine_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/standin/engine"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

// start starts an engine that is closed at the end of the test.
func start(change func(*engine.Config)) *engine.Engine {
	cfg := engine.DefaultConfig()
	if change != nil {
		change(&cfg)
	}
	e, err := engine.Start("127.0.0.1:0", cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	return e
}

// post sends a JSON body and returns the status and the reply's body.
func post(url string, body any) (int, string) {
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(out)
}

type object = map[string]any

type completion struct {
	Choices []struct {
		Message      struct{ Content string }
		FinishReason string `json:"finish_reason"`
	}
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}
}

// ask sends messages to an engine and returns the completion.
func ask(e *engine.Engine, session string, messages []engine.Message, extra object) completion {
	body := object{"model": "m", "messages": messages, "session_id": session}
	for k, v := range extra {
		body[k] = v
	}
	status, out := post(e.URL()+"/v1/chat/completions", body)
	Expect(status).To(Equal(http.StatusOK), out)
	var c completion
	Expect(json.Unmarshal([]byte(out), &c)).To(Succeed())
	return c
}

func user(text string) []engine.Message { return []engine.Message{engine.TextMessage("user", text)} }

var _ = Describe("the answer", func() {
	question := user("layout for a disc answer_tokens=40")
	whole := engine.Answer(question)

	DescribeTable("is a function of the messages",
		func(messages []engine.Message, extra object, want, finish string) {
			c := ask(start(nil), "s", messages, extra)
			Expect(c.Choices[0].Message.Content).To(Equal(want))
			Expect(c.Choices[0].FinishReason).To(Equal(finish))
		},
		// Guards against answers that differ between engines or runs.
		Entry("whole", question, nil, whole, "stop"),
		Entry("limited", question, object{"max_tokens": 7}, whole[:28], "length"),
		// Guards against repeated or lost tokens when another engine continues an answer.
		Entry("continued", append(user("layout for a disc answer_tokens=40"), engine.TextMessage("assistant", whole[:20])),
			object{"continue_final_message": true}, whole[20:], "stop"),
		// Guards against continuing a partial answer of another program unnoticed.
		Entry("continued from another text", append(user("layout for a disc answer_tokens=40"), engine.TextMessage("assistant", "permit")),
			object{"continue_final_message": true}, "<the partial answer is of another conversation>", "stop"),
	)

	It("is streamed with usage in the last chunk", func() {
		status, out := post(start(nil).URL()+"/v1/chat/completions", object{"messages": question, "stream": true})
		Expect(status).To(Equal(http.StatusOK))
		events := strings.Split(strings.TrimSpace(out), "\n\n")
		Expect(events[len(events)-1]).To(Equal("data: [DONE]"))
		Expect(events[len(events)-2]).To(ContainSubstring(`"completion_tokens":40`))
	})

	It("differs for other messages", func() {
		Expect(engine.Answer(user("a"))).NotTo(Equal(engine.Answer(user("b"))))
		Expect(engine.Answer(append(user("a"), user("b")...))).NotTo(Equal(engine.Answer(user("ab"))))
	})
})
