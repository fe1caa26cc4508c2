package memory

// TrackedResults returns the number of results in the account, counted once per
// list that contains them.
func (a *Account) TrackedResults() int {
	return len(a.stored) + len(a.unused) + len(a.reclaimable) + len(a.freeing)
}
