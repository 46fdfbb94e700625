package tools

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/figlb/figlb/standin/server"
)

const toolsPath = "/tools/"

// Service is a tool service that listens on one address.
type Service struct {
	*server.Server
	delay time.Duration
}

// Start starts a tool service on addr, ip:port. A call takes delay unless its body sets
// another delay in "delay_ms".
func Start(addr string, delay time.Duration) (*Service, error) {
	s := &Service{Server: server.New(toolsPath), delay: delay}
	s.Handle("POST "+toolsPath+"{name}", s.call)
	server.HandleStats(s.Server, s.Traffic)
	return s, s.Listen(addr)
}

func (s *Service) call(w http.ResponseWriter, r *server.Request) {
	delay := s.delay
	var body struct {
		DelayMS *int `json:"delay_ms"`
	}
	if json.Unmarshal(r.Payload, &body) == nil && body.DelayMS != nil {
		delay = time.Duration(*body.DelayMS) * time.Millisecond
	}
	r.Wait(delay)
	r.AfterRun()
	sum := sha256.Sum256(r.Payload)
	server.WriteJSON(w, http.StatusOK, map[string]string{"tool": r.PathValue("name"), "result": hex.EncodeToString(sum[:8])})
}
