package fairshare

// Item is work that waits.
type Item interface {
	Workspace() Key
	// Tokens is the service that the work needs.
	Tokens() float64
}

// flow is the waiting work of one workspace.
type flow[I Item] struct {
	items []I
	// start is what the workspace will have received when its first item is served, in tokens.
	start float64
}

// Order returns the first n items in the order of start-time fair queueing: the next item is always
// of the workspace that has received the least, counting the items before it. Among workspaces that
// have received the same, that of the earlier item goes first. Items of one workspace keep their
// order. received returns the tokens that a workspace has received.
func Order[I Item](items []I, n int, received func(Key) float64) []I {
	index := make(map[Key]int)
	var flows []flow[I]
	for _, item := range items {
		key := item.Workspace()
		i, known := index[key]
		if !known {
			i = len(flows)
			index[key] = i
			flows = append(flows, flow[I]{start: received(key)})
		}
		if len(flows[i].items) < n {
			flows[i].items = append(flows[i].items, item)
		}
	}
	n = min(n, len(items))
	ordered := make([]I, 0, n)
	for len(ordered) < n {
		f := least(flows)
		ordered = append(ordered, f.items[0])
		f.start += f.items[0].Tokens()
		f.items = f.items[1:]
	}
	return ordered
}

// least returns the flow with remaining items that has received the least.
func least[I Item](flows []flow[I]) *flow[I] {
	var best *flow[I]
	for i := range flows {
		if f := &flows[i]; len(f.items) > 0 && (best == nil || f.start < best.start) {
			best = f
		}
	}
	return best
}
