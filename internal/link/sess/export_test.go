package sess

// Abort cuts the connection as if the peer had gone.
func (s *Session) Abort() { _ = s.conn.Close() }
