package memory

// Remembered is the number of results that the account still knows of.
func (a *Account) Remembered() int {
	return len(a.held) + len(a.unused) + len(a.spare) + len(a.giving)
}
