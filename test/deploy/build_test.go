package deploy

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	repository   = "../.."
	buildTimeout = 5 * time.Minute
)

var (
	buildLine = regexp.MustCompile(`(?m)^build = "(.*)"$`)
	program   = regexp.MustCompile(`target/[a-z0-9/-]+`)
)

// copyRepository copies the files under version control that keep accepts to a new folder.
func copyRepository(t *testing.T, keep func(path string) bool) string {
	g := NewWithT(t)
	dir := filepath.Join(t.TempDir(), "a clone")
	list := exec.Command("git", "ls-files", "--cached", "--others", "--exclude-standard", "-z")
	list.Dir = repository
	out, err := list.Output()
	g.Expect(err).NotTo(HaveOccurred())
	for path := range strings.SplitSeq(strings.TrimRight(string(out), "\x00"), "\x00") {
		if strings.HasPrefix(path, "journal/") || !keep(path) {
			continue
		}
		info, err := os.Stat(filepath.Join(repository, path))
		if os.IsNotExist(err) {
			continue // removed and not committed yet
		}
		g.Expect(err).NotTo(HaveOccurred())
		content, err := os.ReadFile(filepath.Join(repository, path))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.MkdirAll(filepath.Dir(filepath.Join(dir, path)), 0o755)).To(Succeed())
		g.Expect(os.WriteFile(filepath.Join(dir, path), content, info.Mode().Perm())).To(Succeed())
	}
	return dir
}

// build runs the build command of the deploy file in a folder, under a umask.
func build(t *testing.T, dir, umask string) {
	g := NewWithT(t)
	text, err := os.ReadFile(filepath.Join(dir, "deploy", "system.toml"))
	g.Expect(err).NotTo(HaveOccurred())
	command := buildLine.FindStringSubmatch(string(text))
	g.Expect(command).NotTo(BeNil())
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "sh", "-c", "umask "+umask+"; "+command[1])
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
}

// expectPrograms checks that all users can run the programs that a file names.
func expectPrograms(t *testing.T, dir, file string) {
	g := NewWithT(t)
	text, err := os.ReadFile(filepath.Join(dir, file))
	g.Expect(err).NotTo(HaveOccurred())
	programs := program.FindAllString(string(text), -1)
	g.Expect(programs).NotTo(BeEmpty(), file)
	for _, p := range programs {
		info, err := os.Stat(filepath.Join(dir, p))
		g.Expect(err).NotTo(HaveOccurred(), "%s starts %s", file, p)
		g.Expect(info.Mode().Perm()&0o555).To(BeEquivalentTo(0o555), "%s of %s", p, file)
	}
}

// Guards against a case of the review that ends with exit code 2 and without a word, because the build of the deploy
// file does not make the stand-ins that it starts, or makes them for the building user only.
func TestBuildMakesTheProgramsOfEachCase(t *testing.T) {
	dir := copyRepository(t, func(string) bool { return true })
	build(t, dir, "077")
	scripts, err := filepath.Glob(filepath.Join(dir, "review", "*", "run.sh"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(scripts).NotTo(BeEmpty())
	for _, script := range scripts {
		path, err := filepath.Rel(dir, script)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		expectPrograms(t, dir, path)
	}
	expectPrograms(t, dir, "deploy/system.toml")
}

// Guards against a build that needs tests or cases, which are not there where the product is deployed.
func TestBuildNeedsNoTests(t *testing.T) {
	dir := copyRepository(t, func(path string) bool {
		return !strings.HasPrefix(path, "review/") && !strings.HasPrefix(path, "test/") && !strings.HasSuffix(path, "_test.go")
	})
	build(t, dir, "022")
	expectPrograms(t, dir, "deploy/system.toml")
}

// Guards against a product that can't be deployed because a stand-in of a case does not build.
func TestBuildPassesOverCasesThatDoNotBuild(t *testing.T) {
	dir := copyRepository(t, func(path string) bool { return path != "review/cases2/main.go" && path != "review/1/main.go" })
	build(t, dir, "022")
	expectPrograms(t, dir, "deploy/system.toml")
}
