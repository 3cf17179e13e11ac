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
	fairShares := maxMinShares(workspaces, demand, total)
	var xs []float64
	for _, ws := range workspaces {
		if fairShares[ws.Name] > 0 {
			xs = append(xs, served[ws.Name]/fairShares[ws.Name])
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

// maxMinShares computes the weighted max-min fair allocation of supply. Supply that exceeds the
// demand of a workspace is redistributed to the others by weight.
func maxMinShares(workspaces []Workspace, demand map[string]float64, supply float64) map[string]float64 {
	shares := map[string]float64{}
	unsatisfied := append([]Workspace(nil), workspaces...)
	for len(unsatisfied) > 0 {
		weights := 0.0
		for _, ws := range unsatisfied {
			weights += ws.Weight
		}
		sharePerWeight := supply / weights
		var remaining []Workspace
		for _, ws := range unsatisfied {
			if demand[ws.Name] <= sharePerWeight*ws.Weight {
				shares[ws.Name] = demand[ws.Name]
				supply -= demand[ws.Name]
			} else {
				remaining = append(remaining, ws)
			}
		}
		if len(remaining) == len(unsatisfied) {
			for _, ws := range remaining {
				shares[ws.Name] = sharePerWeight * ws.Weight
			}
			return shares
		}
		unsatisfied = remaining
	}
	return shares
}
