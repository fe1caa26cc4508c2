package pack

// Digest returns the digest of compressed content.
func Digest(data []byte) string { return digestOf(data) }
