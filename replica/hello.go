package replica

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/periodic"
	"github.com/figlb/figlb/raft"
)

// Names of the wire methods between members.
const (
	methodRaft   = "raft"
	methodHello  = "raft.hello"
	methodRemove = "raft.remove"
)

// helloTimeout is the time limit of a hello call. A connection on which the call times out is
// replaced.
const helloTimeout = time.Second

// helloRequest asks a member for its identity. With Verify set, it also asks for the state of
// each group, including what the member has recorded as acknowledged by the sender.
type helloRequest struct {
	Sender raft.Peer
	Verify bool
}

// helloReply contains the identity of the answering member and, with Verify, its groups.
type helloReply struct {
	Self    raft.Peer
	Cluster uint64 // 0: the member belongs to no cluster
	Groups  []helloGroup
	// Members lists the members that the answering member knows; nil without discovery.
	Members []string
}

// helloGroup is the state of one group at the answering member. If that member leads the
// group, Acked is the index that it has recorded as acknowledged by the sender of the request.
type helloGroup struct {
	Group     uint32
	Term      uint64
	Acked     uint64
	Committed raft.Position
}

func (r *Replica) handleHello(ctx context.Context, body []byte) (any, error) {
	var req helloRequest
	if err := msgpack.Unmarshal(body, &req); err != nil {
		return nil, errs.New(errs.BadRequest, "upgrade the peer", "hello: %v", err)
	}
	inc := r.incarnation()
	if inc == nil {
		return nil, errs.New(errs.Unavailable, "retry later", "member %s is not running", r.cfg.ID)
	}
	r.addDiscovered(req.Sender.ID)
	return inc.answerHello(ctx, req)
}

func (inc *incarnation) answerHello(ctx context.Context, req helloRequest) (helloReply, error) {
	reply := helloReply{Self: inc.self, Cluster: inc.cluster.Load(), Members: inc.r.knownMembers(inc)}
	if !req.Verify {
		return reply, nil
	}
	for id, g := range inc.groups {
		st, err := g.currentStatus(ctx)
		if err != nil {
			return reply, err
		}
		group := helloGroup{Group: id, Term: st.Term, Committed: raft.Position{Term: st.CommitTerm, Index: st.Commit}}
		if st.Role == raft.Leader {
			group.Acked = st.Progress[req.Sender].Match
		}
		reply.Groups = append(reply.Groups, group)
	}
	return reply, nil
}

// probe sends hello calls to a member at intervals. They learn its identity and test the
// connection.
func (r *Replica) probe(ctx context.Context, p *peer) {
	periodic.Run(ctx, r.cfg.HelloInterval, func(ctx context.Context) bool {
		r.callHello(ctx, p, false)
		return !r.removeIfSilent(p)
	})
}

// callHello sends a hello call and records the reply. After a timeout it replaces the
// connection.
func (r *Replica) callHello(ctx context.Context, p *peer, verify bool) (helloReply, bool) {
	inc := r.incarnation()
	if inc == nil {
		return helloReply{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	client := p.currentClient()
	var reply helloReply
	err := client.Call(callCtx, methodHello, helloRequest{Sender: inc.self, Verify: verify}, &reply)
	if err != nil {
		if callCtx.Err() != nil && ctx.Err() == nil {
			p.reconnect(client)
		}
		return helloReply{}, false
	}
	p.mu.Lock()
	p.lastHello, p.lastHelloAt = reply, time.Now()
	p.mu.Unlock()
	for _, id := range reply.Members {
		r.addDiscovered(id)
	}
	return reply, true
}
