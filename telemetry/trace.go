package telemetry

import (
	"github.com/zeromicro/go-zero/core/logx"
	gztrace "github.com/zeromicro/go-zero/core/trace"

	"github.com/figlb/figlb/settings"
)

// StartTracing starts the trace exporter of the process and returns a function that flushes
// and stops it. With exporter "none" or "" no spans are exported.
func StartTracing(s settings.Trace, process string) (stop func()) {
	// go-zero would write to its own logger; figlb logs through logr.
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
