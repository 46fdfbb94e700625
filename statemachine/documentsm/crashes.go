package documentsm

import (
	"maps"
	"slices"
	"time"
)

const (
	// CrashLimit is the number of target crashes from which a request is blocked.
	CrashLimit = 3
	// CrashRetention is how long the crashes of a request are kept after the last one.
	CrashRetention = 2 * time.Minute
	// maxCrashRecords bounds the requests whose crashes are kept. Further ones are not counted.
	maxCrashRecords = 4096
	// maxCrashReporters bounds the hosts whose last report is known.
	maxCrashReporters = 4096
)

// CrashReport counts one target crash for each of its digests of requests. A host that repeats a
// report uses the same id again.
type CrashReport struct {
	Host    string   `msgpack:"h"`
	ID      uint64   `msgpack:"i,omitempty"` // 0: the host does not number its reports
	Digests []uint64 `msgpack:"d"`
}

// CrashRecord counts the target crashes that were reported for one request.
type CrashRecord struct {
	Count int           `msgpack:"c"`
	Last  time.Duration `msgpack:"l"` // time of the replicated log
}

// countCrashes adds a report to the records and removes those past their retention. It replaces the
// maps instead of modifying them, because callers of Get share them.
func (m *Machine) countCrashes(now time.Duration, c *CrashReport) (changed bool) {
	if c.ID != 0 && m.state.CrashReports[c.Host] == c.ID {
		return false
	}
	m.noteReport(c)
	records := make(map[uint64]CrashRecord, len(m.state.Crashes)+len(c.Digests))
	for digest, r := range m.state.Crashes {
		if now-r.Last <= CrashRetention {
			records[digest] = r
		}
	}
	for _, digest := range c.Digests {
		r, known := records[digest]
		if !known && len(records) >= maxCrashRecords {
			continue
		}
		records[digest] = CrashRecord{Count: r.Count + 1, Last: now}
	}
	m.state.Crashes = records
	m.state.CrashRevision++
	return true
}

// noteReport records the id of a host's report. Beyond the bound a host replaces the one
// whose name comes first; a repetition of that host's report would count twice.
func (m *Machine) noteReport(c *CrashReport) {
	if c.ID == 0 {
		return
	}
	reports := maps.Clone(m.state.CrashReports)
	if reports == nil {
		reports = map[string]uint64{}
	}
	if _, known := reports[c.Host]; !known && len(reports) >= maxCrashReporters {
		delete(reports, slices.Min(slices.Collect(maps.Keys(reports))))
	}
	reports[c.Host] = c.ID
	m.state.CrashReports = reports
}

// Blocked returns the sorted digests of the requests that have crashed CrashLimit targets or more.
func (s *State) Blocked() []uint64 {
	var out []uint64
	for digest, r := range s.Crashes {
		if r.Count >= CrashLimit {
			out = append(out, digest)
		}
	}
	slices.Sort(out)
	return out
}
