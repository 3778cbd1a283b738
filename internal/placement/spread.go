package placement

// spread places a request of a plain service whose upstreams are nearly full: of two
// upstreams drawn in proportion to their usable slots it takes the one that is less full.
// It answers many gateways that send into a few slots: their news of one another is older
// than a request takes, and whoever takes the least loaded upstream takes it together
// with all others, so that it turns requests away while its neighbours are idle.
func spread(points [2]float64, loads []Load, workMS float64) Choice {
	best, lowest := Choice{Index: -1}, 0.0
	for _, p := range points {
		i := draw(p, loads)
		if i < 0 {
			return best
		}
		fullness := float64(loads[i].Running+1) / loads[i].usableSlots()
		if best.Index < 0 || fullness < lowest {
			best, _ = plainDelay(loads[i], workMS)
			best.Index, lowest = i, fullness
		}
	}
	return best
}

// draw returns the index of an upstream for a number in [0, 1), by usable slots; negative
// when none is usable.
func draw(point float64, loads []Load) int {
	total := 0.0
	for _, l := range loads {
		total += l.usableSlots()
	}
	last, at := -1, point*total
	for i, l := range loads {
		if l.usableSlots() <= 0 {
			continue
		}
		last = i
		if at -= l.usableSlots(); at < 0 {
			break
		}
	}
	return last
}

// usableSlots returns the slots of the upstream that count: fewer while it fails or is slow.
func (l Load) usableSlots() float64 {
	return float64(max(1, l.Slots)) * max(0, 1-l.FailureScore) / max(1, l.SlowdownFactor)
}
