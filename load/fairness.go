package load

// fairness returns Jain's fairness index over the normalised service of the workspaces. The
// normalised service of a workspace is its served tokens divided by its weighted max-min fair share
// of all served tokens. It is 1 for every workspace if sharing is fair, however unequal demands and
// weights are. Workspaces without demand are left out.
func fairness(workspaces []Workspace, demand, served map[string]float64) float64 {
	total := 0.0
	for _, v := range served {
		total += v
	}
	parts := fairParts(workspaces, demand, total)
	var xs []float64
	for _, ws := range workspaces {
		if parts[ws.Name] > 0 {
			xs = append(xs, served[ws.Name]/parts[ws.Name])
		}
	}
	return jain(xs)
}

// jain returns Jain's index, (sum x)^2 / (n * sum x^2), or 1 if xs is empty or all zero.
func jain(xs []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range xs {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(xs)) * squares)
}

// fairParts computes the weighted max-min fair allocation of supply. Supply that exceeds the demand
// of a workspace is redistributed to the others by weight.
func fairParts(workspaces []Workspace, demand map[string]float64, supply float64) map[string]float64 {
	parts := map[string]float64{}
	open := append([]Workspace(nil), workspaces...)
	for len(open) > 0 {
		weights := 0.0
		for _, ws := range open {
			weights += ws.Weight
		}
		level := supply / weights
		var rest []Workspace
		for _, ws := range open {
			if demand[ws.Name] <= level*ws.Weight {
				parts[ws.Name] = demand[ws.Name]
				supply -= demand[ws.Name]
			} else {
				rest = append(rest, ws)
			}
		}
		if len(rest) == len(open) {
			for _, ws := range rest {
				parts[ws.Name] = level * ws.Weight
			}
			return parts
		}
		open = rest
	}
	return parts
}
