package fairshare

import "time"

const (
	// overuseFactor is the multiple of its equal share that a workspace must have received for
	// shares to become active.
	overuseFactor = 2.0
	// maxOveruseShare bounds that limit as a fraction of all service: with two workspaces, none can
	// receive more than twice its equal share.
	maxOveruseShare = 0.75
	// endDelay is the time for which work of fewer than two workspaces must have waited before
	// shares become inactive. It exceeds the 1.4 s between two regular reports of a node. What
	// workspaces receive does not end shares: shares themselves bring it to the equal share while a
	// flood lasts, and without them the flood's old work would go first again.
	endDelay = 2 * time.Second
)

// Activation decides whether shares apply to the waiting work of a service.
type Activation struct {
	Active bool
	// Largest is the workspace that has received the most, and Share its fraction of all service.
	Largest  Key
	Share    float64
	lastHeld time.Duration
}

// Update evaluates the condition, and reports whether Active has changed. received holds the tokens
// that each workspace has received, waiting the workspaces with waiting work on any node.
func (a *Activation) Update(now time.Duration, received map[Key]float64, waiting map[Key]bool) (changed bool) {
	a.Largest, a.Share = largest(received)
	workspaces := float64(countWorkspaces(received, waiting))
	scarce := len(waiting) >= 2
	holds := scarce && (a.Active || a.Share > min(overuseFactor/workspaces, maxOveruseShare))
	switch {
	case holds:
		a.lastHeld = now
		changed, a.Active = !a.Active, true
	case a.Active && now-a.lastHeld >= endDelay:
		changed, a.Active = true, false
	}
	return changed
}

func largest(received map[Key]float64) (key Key, share float64) {
	sum, most := 0.0, 0.0
	for workspace, tokens := range received {
		sum += tokens
		if tokens > most || (tokens == most && workspace < key) {
			key, most = workspace, tokens
		}
	}
	if sum == 0 {
		return key, 0
	}
	return key, most / sum
}

func countWorkspaces(received map[Key]float64, waiting map[Key]bool) int {
	count := len(received)
	for workspace := range waiting {
		if _, counted := received[workspace]; !counted {
			count++
		}
	}
	return max(count, 1)
}

// EqualShare returns the equal share, in tokens, of each workspace that has received service or
// has waiting work.
func EqualShare(received map[Key]float64, waiting map[Key]bool) float64 {
	sum := 0.0
	for _, tokens := range received {
		sum += tokens
	}
	return sum / float64(countWorkspaces(received, waiting))
}
