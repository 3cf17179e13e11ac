package fleet

import "time"

const (
	// maxCopyAge is the maximum age of the copy from which the store may be restored. It is several
	// times the age that the platform promises.
	maxCopyAge = time.Minute
	// maxLeft bounds the number of endpoints remembered after they have left. When it is reached,
	// those that left longer than maxCopyAge ago are forgotten, and all others too if none did.
	maxLeft = 4096
)

// recordLeftLocked records that an endpoint is no longer in service. The caller holds f.mu.
func (f *Fleet) recordLeftLocked(key EndpointKey) {
	if len(f.left) >= maxLeft {
		for known, at := range f.left {
			if f.now()-at > maxCopyAge {
				delete(f.left, known)
			}
		}
		if len(f.left) >= maxLeft {
			clear(f.left)
		}
	}
	f.left[key] = f.now()
}

// hasLeftLocked reports whether an endpoint left so recently that a copy of the store may still hold
// its entry. The caller holds f.mu.
func (f *Fleet) hasLeftLocked(key EndpointKey) bool {
	at, left := f.left[key]
	return left && f.now()-at <= maxCopyAge
}
