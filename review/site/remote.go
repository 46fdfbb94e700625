package site

import (
	"bufio"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// RemoteReplica is a replica that runs as a process of its own, so that it can be killed.
type RemoteReplica struct {
	*Replica // the description for the list; it is not started in this process
	cmd      *exec.Cmd
	exited   chan struct{}
	kill     sync.Once
}

// StartRemote starts this program again with the arguments "replica", id, zone and address. What
// that process writes to its standard output goes into the record. It must be called from the main
// goroutine; see Host.Start.
func (s *Site) StartRemote(t *Replica, address string) (*RemoteReplica, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	t.address = address
	cmd := exec.Command(exe, "replica", t.ID, t.Zone, address)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r := &RemoteReplica{Replica: t, cmd: cmd, exited: make(chan struct{})}
	ready := make(chan struct{})
	go func() {
		lines := bufio.NewScanner(out)
		for first := true; lines.Scan(); first = false {
			if first {
				close(ready)
				continue
			}
			s.Record.Printf("replica process: %s", lines.Text())
		}
		_ = cmd.Wait()
		close(r.exited)
	}()
	select {
	case <-ready:
	case <-r.exited:
	}
	s.Record.Printf("start replica %s at %s, pid %d", t.ID, address, cmd.Process.Pid)
	return r, nil
}

// Kill sends SIGKILL to the process and waits for its end.
func (r *RemoteReplica) Kill() {
	r.kill.Do(func() { _ = r.cmd.Process.Kill() })
	<-r.exited
}
