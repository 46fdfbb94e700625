package sched

// Shares counts the slots in use by each organisation.
type Shares struct {
	orgs   map[string]*share
	slots  int     // sum over all organisations
	weight float64 // sum over the organisations that have slots
}

// share is one organisation's part.
type share struct {
	slots  int
	weight float64
}

func newShares() *Shares { return &Shares{orgs: map[string]*share{}} }

func (s *Shares) addSlot(org string, weight int) {
	s.slots++
	o := s.orgs[org]
	if o == nil {
		o = &share{weight: float64(max(weight, 1))}
		s.orgs[org] = o
		s.weight += o.weight
	}
	o.slots++
}

func (s *Shares) removeSlot(org string) {
	s.slots--
	o := s.orgs[org]
	if o.slots--; o.slots == 0 {
		s.weight -= o.weight
		delete(s.orgs, org)
	}
}

// shareRatio returns the number of slots that an organisation uses divided by its fair share,
// which is by weight among the organisations that use any. It is above 1 for an organisation
// that uses more than its share, 1 for one that is alone and 0 for one without slots.
func (s *Shares) shareRatio(org string) float64 {
	o := s.orgs[org]
	if o == nil {
		return 0
	}
	return float64(o.slots) * s.weight / (o.weight * float64(s.slots))
}
