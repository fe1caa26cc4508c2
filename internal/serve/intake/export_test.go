package intake

// Next puts the configuration that waits in force.
func (i *Intake) Next() bool { return i.next() }
