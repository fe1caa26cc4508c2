package sess

// Abort closes the connection without a close message, as when the peer crashes.
func (s *Session) Abort() { _ = s.conn.Close() }
