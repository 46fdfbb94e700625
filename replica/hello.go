package replica

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figlb/figlb/errs"
	"github.com/figlb/figlb/internal/periodic"
	"github.com/figlb/figlb/raft"
)

// Wire methods between members.
const (
	methodRaft   = "raft"
	methodHello  = "raft.hello"
	methodRemove = "raft.remove"
)

// helloTimeout is the time after which a connection that answers nothing is replaced.
const helloTimeout = time.Second

// helloRequest asks a member for its identity. With Verify set it also asks what the member
// has recorded of the sender's directory.
type helloRequest struct {
	Sender raft.Peer
	Verify bool
}

type helloReply struct {
	Self    raft.Peer
	Cluster uint64 // 0: the member belongs to no cluster
	Groups  []helloGroup
	// Members lists the members that the sender knows of, where they are discovered.
	Members []string
}

// helloGroup is the state of one group at the answering member. Acked is the index that it
// has recorded as acknowledged by the sender, if it leads the group.
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
		return nil, errs.New(errs.Unavailable, "retry later", "member %s is starting", r.cfg.ID)
	}
	r.discovered(req.Sender.ID)
	return inc.hello(ctx, req)
}

func (inc *incarnation) hello(ctx context.Context, req helloRequest) (helloReply, error) {
	reply := helloReply{Self: inc.self, Cluster: inc.cluster.Load(), Members: inc.r.knownMembers(inc)}
	if !req.Verify {
		return reply, nil
	}
	for id, g := range inc.groups {
		st, err := g.currentStatus(ctx)
		if err != nil {
			return reply, err
		}
		hg := helloGroup{Group: id, Term: st.Term, Committed: raft.Position{Term: st.CommitTerm, Index: st.Commit}}
		if st.Role == raft.Leader {
			hg.Acked = st.Progress[req.Sender].Match
		}
		reply.Groups = append(reply.Groups, hg)
	}
	return reply, nil
}

// probe asks a member for its identity at intervals, which also tests the connection.
func (r *Replica) probe(ctx context.Context, p *peer) {
	periodic.Run(ctx, r.cfg.HelloInterval, func(ctx context.Context) bool {
		r.callHello(ctx, p, false)
		return !r.forget(p)
	})
}

func (r *Replica) callHello(ctx context.Context, p *peer, verify bool) (helloReply, bool) {
	inc := r.incarnation()
	if inc == nil {
		return helloReply{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	client := p.conn()
	var reply helloReply
	err := client.Call(callCtx, methodHello, helloRequest{Sender: inc.self, Verify: verify}, &reply)
	if err != nil {
		if callCtx.Err() != nil && ctx.Err() == nil {
			p.reset(client)
		}
		return helloReply{}, false
	}
	p.mu.Lock()
	p.info, p.seen = reply, time.Now()
	p.mu.Unlock()
	for _, id := range reply.Members {
		r.discovered(id)
	}
	return reply, true
}
