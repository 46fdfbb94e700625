package sched

// Shares counts the slots in use of each organisation.
type Shares struct {
	orgs   map[string]*share
	slots  int
	weight float64 // sum over the organisations that have slots
}

type share struct {
	slots  int
	weight float64
}

func newShares() *Shares { return &Shares{orgs: map[string]*share{}} }

func (s *Shares) add(org string, weight int) {
	s.slots++
	o := s.orgs[org]
	if o == nil {
		o = &share{weight: float64(max(weight, 1))}
		s.orgs[org] = o
		s.weight += o.weight
	}
	o.slots++
}

func (s *Shares) remove(org string) {
	s.slots--
	o := s.orgs[org]
	if o.slots--; o.slots == 0 {
		s.weight -= o.weight
		delete(s.orgs, org)
	}
}

// excess returns the slots in use of an organisation relative to its share, by weight
// among the organisations that have any. It is at most 1 for one that is alone.
func (s *Shares) excess(org string) float64 {
	o := s.orgs[org]
	if o == nil {
		return 0
	}
	return float64(o.slots) * s.weight / (o.weight * float64(s.slots))
}
