package reach

// Merge combines the queues of several shards into one queue for the whole pool.
// Bounds and ResultMemory are not set.
func Merge(parts []*Queue) *Queue {
	merged := &Queue{}
	var batchSizes, staleness, reporting float64
	for _, part := range parts {
		merged.Engines += part.Engines
		merged.Free += part.Free
		merged.Queued = addClasses(merged.Queued, part.Queued)
		if part.BatchSize > 0 {
			batchSizes += part.BatchSize * float64(part.Engines)
			reporting += float64(part.Engines)
		}
		staleness += part.Staleness * float64(part.Engines)
	}
	if reporting > 0 {
		merged.BatchSize = batchSizes / reporting
	}
	if merged.Engines > 0 {
		merged.Staleness = staleness / float64(merged.Engines)
	}
	return merged
}

func addClasses(sum, more []int) []int {
	for class, pieces := range more {
		if class == len(sum) {
			sum = append(sum, 0)
		}
		sum[class] += pieces
	}
	return sum
}
