package fair

// Organisations returns the number of organisations whose finish time is stored.
func (q *Queue[T]) Organisations() int { return len(q.finish) }
