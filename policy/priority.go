package policy

import (
	"time"

	"github.com/crocusreel/crocusreel"
)

const (
	// enginePriorityUnit is the time that one step of engine priority represents.
	enginePriorityUnit = 10 * time.Millisecond
	// callerPriorityStep is the time that one step of caller priority is worth.
	callerPriorityStep = 30 * time.Second
	// shortWorkBonus is the time that short work is worth, so that it is not preempted in favour of
	// the answers that started before it.
	shortWorkBonus = 5 * time.Minute
	// expectedDurationWeight is the weight of an answer's expected duration relative to its start
	// time. Smaller weights lead to more stalls and more preemptions.
	expectedDurationWeight = 4
	// enginePriorityRange is the number of units, 124 days, after which engine priorities wrap
	// around. For the duration of one answer after that, victims of preemption are chosen badly.
	enginePriorityRange = 1 << 30
)

// EnginePriority returns the priority with which an engine runs an answer that starts at the time
// now and is expected to take the given time. Engines preempt the lowest priority first, so the
// priority falls with the expected end: the victim is the answer that would hold its memory for
// longest. As a rule this is also the youngest one, with the least to recompute and the least shown
// to its caller. now must count from an epoch that all schedulers share.
func EnginePriority(now, expected time.Duration, class crocusreel.Class, p crocusreel.Priority) int {
	end := now + expectedDurationWeight*expected - time.Duration(p)*callerPriorityStep
	if class == crocusreel.ClassShort {
		end -= shortWorkBonus
	}
	return -int((end / enginePriorityUnit) % enginePriorityRange)
}
