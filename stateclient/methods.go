package stateclient

// Wire methods of state members.
const (
	MethodConfigConfirm   = "config.confirm"
	MethodConfigApply     = "config.apply"
	MethodConfigGet       = "config.get"
	MethodConfigHistory   = "config.history"
	MethodConfigRollback  = "config.rollback"
	MethodKeyGrant        = "key.grant"
	MethodKeyRevoke       = "key.revoke"
	MethodDrainSet        = "drain.set"
	MethodFingerprintAdd  = "fingerprint.add"
	MethodFingerprintLift = "fingerprint.lift"
	MethodOrderSubmit     = "order.submit"
	MethodOrderList       = "order.list"
	MethodProgramOpen     = "program.open"
	MethodProgramEnd      = "program.end"
	MethodProgramGet      = "program.get"
	MethodTurnBegin       = "turn.begin"
	MethodTurnFinish      = "turn.finish"
	MethodTurnGet         = "turn.get"
	MethodCallBegin       = "call.begin"
	MethodCallFinish      = "call.finish"
	MethodCallGet         = "call.get"
	MethodCallResolve     = "call.resolve"
	MethodRateDebit       = "rate.debit"
	MethodMemberList      = "member.list"
	MethodMemberRemove    = "member.remove"
	MethodSnapshotSave    = "snapshot.save"
	MethodSnapshotLoad    = "snapshot.load"
	MethodStatus          = "status"
	// MethodPing answers immediately. Clients use it to detect an unreachable member while
	// a call waits for a delayed answer.
	MethodPing = "ping"
)
