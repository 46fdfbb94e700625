package testsite

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a child process, which can be started again after it has exited.
type Process struct {
	Name string
	bin  string
	args []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	err    error
	stdout lockedBuffer
	stderr lockedBuffer
}

// lockedBuffer is a buffer that one goroutine writes while others read it.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// NewProcess returns a process that is not running yet; Start runs it.
func NewProcess(name, bin string, args ...string) *Process {
	return &Process{Name: name, bin: bin, args: args}
}

// Start runs the binary with its arguments followed by extraArgs.
func (p *Process) Start(extraArgs ...string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return errors.Errorf("%s is already running", p.Name)
	}
	cmd := exec.Command(p.bin, append(append([]string(nil), p.args...), extraArgs...)...)
	cmd.Stdout = &p.stdout
	cmd.Stderr = io.MultiWriter(&p.stderr)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// SetBinary sets the program that the next Start runs.
func (p *Process) SetBinary(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bin = path
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Suspend suspends the process with SIGSTOP, which it cannot handle; Resume resumes it.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Resume resumes a suspended process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.wait()
}

// Stop sends SIGTERM to the process and returns its exit error. If the process has not exited
// after the timeout, Stop kills it and returns an error.
func (p *Process) Stop(timeout time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.Kill()
		return errors.Errorf("%s did not stop within %s", p.Name, timeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

func (p *Process) wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// Running reports whether the process has been started and has not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// running is Running for callers that hold mu.
func (p *Process) running() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// PID returns the process ID.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Stdout returns what the process has written to standard output, over all its starts.
func (p *Process) Stdout() string { return p.stdout.String() }

// Stderr returns what the process has written to standard error, over all its starts.
func (p *Process) Stderr() string { return p.stderr.String() }
