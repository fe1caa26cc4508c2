package blame

import "github.com/jujubescale/jujubescale/internal/flow/crash"

// maxSound is the number of answered parts in each of the two sets of sound.
const maxSound = 8192

// soundPart is a part that an engine of a version has answered.
type soundPart struct {
	key     crash.Key
	version string
}

// sound remembers the parts that were answered last. When the newer set is full it replaces the
// older one, so that parts that are still used stay.
type sound struct {
	newer, older map[soundPart]struct{}
}

func (s *sound) add(key crash.Key, version string) {
	part := soundPart{key: key, version: version}
	if _, known := s.newer[part]; known {
		return
	}
	if len(s.newer) >= maxSound || s.newer == nil {
		s.newer, s.older = make(map[soundPart]struct{}), s.newer
	}
	s.newer[part] = struct{}{}
}

func (s *sound) has(key crash.Key, version string) bool {
	part := soundPart{key: key, version: version}
	if _, known := s.newer[part]; known {
		return true
	}
	_, known := s.older[part]
	return known
}
