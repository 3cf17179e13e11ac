package quarantine

import (
	"slices"
	"time"
)

const (
	// crashMemory is how long a crash counts as evidence.
	crashMemory = time.Hour
	// survivalMemory is the time for which a part that a run has survived is not suspected of single
	// crashes.
	survivalMemory = 10 * time.Minute
	// sameCauseWindow is the time within which the deaths of several engines count as one: a rack that
	// fails ends all runs on it at the same moment.
	sameCauseWindow = 50 * time.Millisecond
	// quarantineCrashes is the number of crashes after which a part is quarantined that no run has
	// survived.
	quarantineCrashes = 3
	// A part that runs have survived before is suspected, or quarantined, after this number of crashes
	// since then that no other part explains.
	provenSuspectCrashes    = 3
	provenQuarantineCrashes = 5
	// maxCrashes bounds the crashes that are kept, maxRunsPerCrash the runs of each.
	maxCrashes      = 64
	maxRunsPerCrash = 8
	// maxReportedParts bounds the parts of one run that are kept.
	maxReportedParts = 8
)

// crash is the death of one incarnation of an engine.
type crash struct {
	endpoint uint32
	at       time.Duration
	// runs holds the parts of the runs that had not gone on past their first event.
	runs [][]Part
}

// addRun adds the parts of a run and reports whether they are new.
func (c *crash) addRun(parts []Part) bool {
	known := slices.ContainsFunc(c.runs, func(run []Part) bool { return slices.Equal(run, parts) })
	if known || len(c.runs) >= maxRunsPerCrash {
		return false
	}
	c.runs = append(c.runs, parts)
	return true
}

// blame is what the crashes say about the parts.
type blame struct {
	// suspects are the parts each of which may be the cause of a crash.
	suspects map[Part]bool
	// deadly are sets of parts. Each set holds the cause of quarantineCrashes crashes or more, but its
	// parts cannot be told apart.
	deadly []deadlySet
}

type deadlySet struct {
	parts     []Part
	crashes   int
	crashedAt time.Duration
}

// candidates are the parts of a run that may have crashed its engine.
type candidates struct {
	// unproven are those that no run is known to have survived, proven the others.
	unproven, proven []Part
}

// survivalOf returns the time at which a run with the part last went on past its first event.
type survivalOf func(Part) (at time.Duration, known bool)

func candidatesOf(run []Part, crashedAt time.Duration, survived survivalOf) candidates {
	var c candidates
	for _, p := range run {
		at, known := survived(p)
		switch {
		case !known || crashedAt-at > survivalMemory:
			c.unproven = append(c.unproven, p)
		case at < crashedAt:
			c.proven = append(c.proven, p)
		}
	}
	return c
}

// judge attributes the crashes to parts. A crash is attributed to those of its candidates that have
// the most crashes. The crashes are ordered by time. explained reports whether a run holds parts that
// are quarantined already.
func judge(crashes []*crash, survived survivalOf, explained func(run []Part) bool) blame {
	var unexplained []*crash
	for _, c := range crashes {
		if !slices.ContainsFunc(c.runs, explained) {
			unexplained = append(unexplained, c)
		}
	}
	count := countCrashes(unexplained, survived)
	b := blame{suspects: make(map[Part]bool)}
	for _, c := range unexplained {
		for _, run := range c.runs {
			b.attribute(c, candidatesOf(run, c.at, survived), count)
		}
	}
	return b
}

// counts are the numbers of crashes of which a part is a candidate. Deaths within sameCauseWindow
// count once.
type counts struct {
	unproven, proven map[Part]int
	// bestUnproven and bestProven are the highest counts among the candidates of each crash.
	bestUnproven, bestProven map[*crash]int
}

func countCrashes(crashes []*crash, survived survivalOf) counts {
	n := counts{
		unproven: make(map[Part]int), proven: make(map[Part]int),
		bestUnproven: make(map[*crash]int), bestProven: make(map[*crash]int),
	}
	lastUnproven, lastProven := make(map[Part]time.Duration), make(map[Part]time.Duration)
	each := func(c *crash, visit func(candidates)) {
		for _, run := range c.runs {
			visit(candidatesOf(run, c.at, survived))
		}
	}
	for _, c := range crashes {
		each(c, func(of candidates) {
			countOnce(n.unproven, lastUnproven, of.unproven, c.at)
			if len(of.unproven) == 0 {
				countOnce(n.proven, lastProven, of.proven, c.at)
			}
		})
	}
	for _, c := range crashes {
		each(c, func(of candidates) {
			for _, p := range of.unproven {
				n.bestUnproven[c] = max(n.bestUnproven[c], n.unproven[p])
			}
			for _, p := range of.proven {
				n.bestProven[c] = max(n.bestProven[c], n.proven[p])
			}
		})
	}
	return n
}

// countOnce counts the parts' crash at the given time unless one within sameCauseWindow before it has
// been counted. counted holds the time of the last crash that was.
func countOnce(n map[Part]int, counted map[Part]time.Duration, parts []Part, at time.Duration) {
	for _, p := range parts {
		if last, any := counted[p]; any && at-last < sameCauseWindow {
			continue
		}
		counted[p] = at
		n[p]++
	}
}

// attribute attributes the crash to the candidates of one of its runs.
func (b *blame) attribute(c *crash, of candidates, n counts) {
	best, suspectFrom, deadlyFrom := n.bestUnproven[c], 1, quarantineCrashes
	parts, count := of.unproven, n.unproven
	if best == 0 {
		best, suspectFrom, deadlyFrom = n.bestProven[c], provenSuspectCrashes, provenQuarantineCrashes
		parts, count = of.proven, n.proven
	}
	if best < suspectFrom {
		return
	}
	var tied []Part
	for _, p := range parts {
		if count[p] == best {
			tied = append(tied, p)
			b.suspects[p] = true
		}
	}
	if best >= deadlyFrom && len(tied) > 0 {
		b.addDeadly(tied, best, c.at)
	}
}

func (b *blame) addDeadly(parts []Part, crashes int, at time.Duration) {
	parts = sortedParts(parts)
	for i := range b.deadly {
		if slices.Equal(b.deadly[i].parts, parts) {
			b.deadly[i].crashedAt = max(b.deadly[i].crashedAt, at)
			return
		}
	}
	b.deadly = append(b.deadly, deadlySet{parts: parts, crashes: crashes, crashedAt: at})
}

func sortedParts(parts []Part) []Part {
	parts = slices.Clone(parts)
	slices.Sort(parts)
	return parts
}

// containsAll reports whether a request's parts include all of the given ones.
func containsAll(request, parts []Part) bool {
	for _, p := range parts {
		if !slices.Contains(request, p) {
			return false
		}
	}
	return true
}
