package telemetry

import (
	"github.com/zeromicro/go-zero/core/logx"
	gztrace "github.com/zeromicro/go-zero/core/trace"

	"github.com/figlb/figlb/settings"
)

// StartTracing installs the process's trace exporter and returns a function that
// flushes it. With exporter "none" spans are not recorded.
func StartTracing(s settings.Trace, process string) (stop func()) {
	// go-zero logs through its own logger; figlb's log is logr.
	logx.Disable()
	if s.Exporter == "none" || s.Exporter == "" {
		return func() {}
	}
	gztrace.StartAgent(gztrace.Config{
		Name:     process,
		Endpoint: s.Endpoint,
		Sampler:  s.Sampler,
		Batcher:  s.Exporter,
	})
	return gztrace.StopAgent
}
