package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figlb/figlb/internal/testsite"
	"github.com/figlb/figlb/settings"
	"github.com/figlb/figlb/stateclient"
	"github.com/figlb/figlb/structs"
)

func TestFiglbState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "figlb-state")
}

var _ = Describe("figlb-state", func() {
	// Guards against a member that hangs on SIGTERM or does not serve after its start.
	It("serves until its context ends", func() {
		addrs, err := testsite.FreeAddrs(2)
		Expect(err).NotTo(HaveOccurred())
		dir := GinkgoT().TempDir()
		path := filepath.Join(dir, "state.ini")
		text := "[state]\nid = s1\nzone = a\nlisten = " + addrs[0] + "\nadmin = " + addrs[1] +
			"\ndata = " + filepath.Join(dir, "data") + "\nmembers = s1=" + addrs[0] + "\ngroups = 2\n"
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		file, err := settings.LoadState(path)
		Expect(err).NotTo(HaveOccurred())

		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- run(ctx, file, true) }()
		DeferCleanup(stop)
		client, err := stateclient.New(addrs[:1], 2, nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		callCtx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		DeferCleanup(cancel)
		p, err := client.OpenProgram(callCtx, "acme", structs.OpenProgram{ID: "p", Limits: structs.Limits{BudgetTokens: 10}})
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Budget).To(BeEquivalentTo(10))

		stop()
		Eventually(done, 10*time.Second).Should(Receive(BeNil()))
	})
})
