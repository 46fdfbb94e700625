package e2e_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/standin/engine"
)

var _ = Describe("the request path", func() {
	It("serves programs, streams and plain calls, and refuses invalid requests, through separate processes", func() {
		s := startSite(testsite.Options{Members: 3, Entries: 2, Engines: 2, Orders: 1})
		c, _ := grantKey(s, "acme")
		entries := randomEntry(s.EntryAddrs, 1)

		By("running a program of several turns through random entries")
		id, err := c.openProgram(entries(), map[string]any{"service": "chat"})
		Expect(err).NotTo(HaveOccurred())
		v := &conversation{program: id}
		for range 4 {
			Expect(v.runTurn(c, entries, "engrave a monogram", time.Now().Add(20*time.Second))).To(Succeed())
		}

		By("streaming")
		m, want := v.nextTurn("and a second line")
		got, err := c.stream(entries(), turnHeader(id, 5), chatBody{Model: "chat", Messages: []engine.Message{m}}, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))

		By("returning the recorded answer when the turn is sent again")
		again, err := c.chat(entries(), turnHeader(id, 5), chatBody{Model: "chat", Messages: []engine.Message{m}})
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(want))

		By("serving a caller that names no program")
		alone := &conversation{}
		m, want = alone.nextTurn("hello")
		got, err = c.chat(entries(), nil, chatBody{Model: "chat", Messages: []engine.Message{m}})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))

		By("executing an order once when it is sent twice")
		order := map[string]string{"Idempotency-Key": "order-1"}
		first, err := c.do(http.MethodPost, "http://"+entries()+"/orders", order, map[string]any{"discs": 40})
		Expect(err).NotTo(HaveOccurred())
		second, err := c.do(http.MethodPost, "http://"+entries()+"/orders", order, map[string]any{"discs": 40})
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))

		By("refusing an unknown key and an unknown model with typed errors")
		_, err = newCaller("figlb_wrong").chat(entries(), nil, chatBody{Model: "chat"})
		Expect(err).To(HaveField("Code", errs.Unauthorized))
		_, err = c.chat(entries(), nil, chatBody{Model: "none", Messages: []engine.Message{m}})
		Expect(err).To(HaveField("Code", errs.UnknownModel))
	})
})
