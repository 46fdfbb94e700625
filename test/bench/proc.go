package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/figlb/figlb/internal/testsite"
)

// clockTick is the unit of CPU times in /proc.
const clockTick = 10 * time.Millisecond

// usage is the resource usage of a process since its start. Bytes read and written, and the
// numbers of system calls, include both sockets and files.
type usage struct {
	at            time.Time
	cpu           time.Duration
	rss           int64 // current resident memory in bytes
	read, write   int64 // bytes
	reads, writes int64 // system calls
	disk          int64 // bytes written to files
}

func readUsage(pid int) usage {
	u := usage{at: time.Now()}
	stat := readProc(pid, "stat")
	if i := strings.LastIndexByte(stat, ')'); i > 0 {
		f := strings.Fields(stat[i+1:])
		const utime, stime = 11, 12
		u.cpu = time.Duration(parseInt(f[utime])+parseInt(f[stime])) * clockTick
	}
	u.rss = parseField(readProc(pid, "status"), "VmRSS:") << 10
	io := readProc(pid, "io")
	u.read, u.write = parseField(io, "rchar:"), parseField(io, "wchar:")
	u.reads, u.writes = parseField(io, "syscr:"), parseField(io, "syscw:")
	u.disk = parseField(io, "write_bytes:")
	return u
}

func readProc(pid int, name string) string {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
	return string(data)
}

func parseField(text, name string) int64 {
	_, rest, _ := strings.Cut(text, name)
	f := strings.Fields(rest)
	if len(f) == 0 {
		return 0
	}
	return parseInt(f[0])
}

func parseInt(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64)
	return n
}

// meter measures the resource usage of processes between startMeter and report.
type meter struct {
	names []string
	pids  []int
	begin []usage
}

func startMeter(groups ...[]*testsite.Process) *meter {
	m := &meter{}
	for _, g := range groups {
		for _, p := range g {
			m.names = append(m.names, p.Name)
			m.pids = append(m.pids, p.PID())
			m.begin = append(m.begin, readUsage(p.PID()))
		}
	}
	return m
}

// report prints one line for each process. role returns text that is printed with a process's
// name.
func (m *meter) report(label string, role func(name string) string) {
	for i, pid := range m.pids {
		a, b := m.begin[i], readUsage(pid)
		s := b.at.Sub(a.at).Seconds()
		fmt.Printf("%s %-8s %-14s cpu %6.2f%% of a core, rss %6.1f MB, read %9.1f KB/s, written %9.1f KB/s (%.1f to files), reads %.0f/s, writes %.0f/s\n",
			label, m.names[i], role(m.names[i]), 100*(b.cpu-a.cpu).Seconds()/s, float64(b.rss)/1e6,
			float64(b.read-a.read)/s/1e3, float64(b.write-a.write)/s/1e3, float64(b.disk-a.disk)/s/1e3,
			float64(b.reads-a.reads)/s, float64(b.writes-a.writes)/s)
	}
}
