package controller

const (
	// bodiesOnPercent is the part of the ledger's limit, in percent, from which bodies of turns go to
	// store hosts, and bodiesOffPercent the part below which they are kept in the ledger again. What is
	// between the first and the limit takes the bodies that gateways send until they have heard of the
	// change, and those of store hosts that fail.
	bodiesOnPercent  = 40
	bodiesOffPercent = 25
	// storesFullPercent is the used part of the store hosts' disks, in percent, from which new programs
	// are refused, and storesRoomPercent the part below which they are admitted again. Store hosts refuse
	// writes from 80 on; the difference is left to programs that have begun.
	storesFullPercent = 70
	storesRoomPercent = 62
)

// bodyGate decides whether bodies of turns go to store hosts. The decision takes constant time.
type bodyGate struct {
	wanted bool // the ledger is so full that bodies should go to store hosts
}

// gateInput is what the decision of a bodyGate depends on.
type gateInput struct {
	kept, limit int64 // bytes in the ledger
	// membersReady and gatewaysReady are set if all of them understand references to bodies.
	membersReady, gatewaysReady bool
	// settled is set once the leader has heard from every live store host.
	settled          bool
	writable, copies int // store hosts that take bodies, and those that each body needs
}

// decide returns whether bodies go to store hosts. A new leader does not know the store hosts yet; gateways
// keep the last view meanwhile.
func (g *bodyGate) decide(in *gateInput) bool {
	percent := int64(bodiesOnPercent)
	if g.wanted {
		percent = bodiesOffPercent
	}
	g.wanted = in.limit > 0 && in.copies > 0 && in.kept*100 >= in.limit*percent
	return g.wanted && in.membersReady && in.gatewaysReady && (!in.settled || in.writable >= in.copies)
}

// nearlyFull returns whether the disks of the store hosts are nearly used up: their total space, or that of
// all but fewer than the copies of a body. was is the decision before.
func nearlyFull(disks []diskUse, copies int, was bool) bool {
	if len(disks) < copies || copies == 0 {
		return false // bodies are kept in the ledger
	}
	percent := storesFullPercent
	if was {
		percent = storesRoomPercent
	}
	used, total, roomy := 0, 0, 0
	for _, d := range disks {
		used += d.usedMB
		total += d.diskMB
		if d.usedMB*100 < d.diskMB*percent {
			roomy++
		}
	}
	return used*100 >= total*percent || roomy < copies
}

// diskUse is the use of a store host's disk.
type diskUse struct{ usedMB, diskMB int }
