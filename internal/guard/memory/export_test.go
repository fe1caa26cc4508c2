package memory

// TrackedResults is the number of results that the account still knows of.
func (a *Account) TrackedResults() int {
	return len(a.held) + len(a.unused) + len(a.spare) + len(a.giving)
}
