package reach

// Merge returns the queue that several shards of a pool make together.
func Merge(parts []*Queue) *Queue {
	merged := &Queue{}
	var filled, late, weight float64
	for _, part := range parts {
		merged.Engines += part.Engines
		merged.Free += part.Free
		merged.Queued = addClasses(merged.Queued, part.Queued)
		if part.BatchSize > 0 {
			filled += part.BatchSize * float64(part.Engines)
			weight += float64(part.Engines)
		}
		late += part.Staleness * float64(part.Engines)
	}
	if weight > 0 {
		merged.BatchSize = filled / weight
	}
	if merged.Engines > 0 {
		merged.Staleness = late / float64(merged.Engines)
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
