package claims

// notDone tells whether a failed transaction was surely not done.
func notDone(error) bool { return false }
