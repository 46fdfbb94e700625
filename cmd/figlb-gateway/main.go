// Command figlb-gateway runs a gateway, the HTTP server that accepts requests from callers
// on the users' platform.
package main

import (
	"context"
	"flag"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figlb/figlb/bodystore"
	"github.com/figlb/figlb/gateway"
	"github.com/figlb/figlb/gateway/upstream"
	"github.com/figlb/figlb/internal/clientlimit"
	"github.com/figlb/figlb/internal/httpserver"
	"github.com/figlb/figlb/internal/process"
	"github.com/figlb/figlb/platform"
	"github.com/figlb/figlb/telemetry"
	"github.com/figlb/figlb/wire"
)

const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 20 * time.Second
	maxHeaderBytes = 64 << 10
	// unreadyPeriod is the time between the stop signal and the close of the listener. In that
	// time the platform's load balancer removes the host, after two failed readiness checks at
	// one a second.
	unreadyPeriod = 2800 * time.Millisecond
	// shutdownMargin is how long before the forced end of the process the shutdown gives up
	// on requests in flight.
	shutdownMargin = 300 * time.Millisecond
)

// targetProxy is used by tests to cut a gateway off from the targets.
var targetProxy = flag.String("target-proxy", "", "connect to targets through the forward proxy at this `ADDRESS`")

func main() {
	process.Main("figlb-gateway", platform.SettingsPath(), platform.LoadSettings, run)
}

func run(p *process.Process) error {
	stores := bodystore.NewClient()
	defer stores.Close()
	g := gateway.New(gateway.Options{
		Host: p.Host.Name, Zone: p.Host.Zone, Address: p.Host.InternalAddress, Adapter: platform.Adapter{},
		Client: p.Client, Bodies: stores, Log: p.Log, Metrics: p.Metrics, DialTarget: upstream.DialThrough(*targetProxy),
		HoldNewVersions: p.Host.RollsOut,
		Memory:          p.Limits.Account, RelayBytes: p.Limits.RelayBytes(),
	})
	defer g.Close()
	peers, err := wire.Listen(p.Host.Listen(p.Host.InternalAddress), nil, p.Log)
	if err != nil {
		return err
	}
	defer peers.Close()
	peers.SetBounds(p.Limits.Internal())
	g.Register(peers)
	go peers.Serve() // ends with Close
	closeReadiness, err := serveReadiness(p.Host.Listen(p.Host.ReadinessAddress), g, p.Limits.Admin("readiness"))
	if err != nil {
		return err
	}
	defer closeReadiness()
	admin, err := p.StartAdmin(g.Ready)
	if err != nil {
		return err
	}
	defer admin.Close()
	front, err := httpserver.Start(httpserver.Options{
		Name: "figlb-gateway", Addr: p.Host.Listen(p.Host.FrontendAddress), Handler: g,
		Bounds: p.Limits.Front("callers", headerTimeout, idleTimeout, maxHeaderBytes),
	})
	if err != nil {
		return err
	}
	select {
	case <-p.StopContext.Done():
		drain(p, g, front)
		return nil
	case err := <-front.Failed():
		return err
	}
}

// serveReadiness serves the readiness checks of the platform's load balancer. The returned
// function closes the listener.
func serveReadiness(addr string, g *gateway.Gateway, bounds *clientlimit.Options) (func(), error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadinessPath, telemetry.ReadyHandler(g.Ready))
	srv := &http.Server{Handler: mux}
	bounds.Apply(srv)
	go func() { _ = srv.Serve(clientlimit.NewListener(ln, bounds)) }() // ends with Close
	return func() { _ = srv.Close() }, nil
}

// drain shuts down gracefully. The host becomes unready at once but accepts requests for
// unreadyPeriod, until the load balancer has removed it. Then the listener closes and requests
// in flight may complete until the grace period ends.
func drain(p *process.Process, g *gateway.Gateway, front *httpserver.Server) {
	start := time.Now()
	g.BeginShutdown()
	time.Sleep(unreadyPeriod)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(p.StopGracePeriod()-shutdownMargin))
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		p.Log.Info("grace period ended with requests in flight", "reason", err.Error())
	}
	g.DrainTunnels(ctx)
	p.Log.Info("drained", "took_ms", time.Since(start).Milliseconds())
}
