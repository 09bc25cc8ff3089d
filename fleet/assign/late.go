package assign

// markLate marks the options on workers on which the unit would be late, if the workers of
// its service differ.
func markLate(u Unit, all []option) {
	if len(all) == 0 || all[0].grade == nil {
		return
	}
	perWorker := 0
	counts := map[*speedGrade]int{}
	for _, o := range all {
		counts[o.grade]++
		perWorker = max(perWorker, counts[o.grade])
	}
	d := demandOf(u, perWorker)
	for i := range all {
		all[i].late = d.class(all[i].grade) == late
	}
}

// isLate reports whether a unit would be late on the workers of the given options.
func isLate(u Unit, chosen []option) bool {
	if len(chosen) == 0 || chosen[0].grade == nil {
		return false
	}
	chance, step := 1.0, slackStep(u.Slack)
	seen := map[*speedGrade]bool{}
	for _, o := range chosen {
		if !seen[o.grade] {
			chance *= o.grade.chance(step)
		}
		seen[o.grade] = true
	}
	return leastChance.class(chance) == late
}
