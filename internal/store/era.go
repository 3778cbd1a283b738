package store

// A store that is restored from a copy loses what it has acknowledged since, gives its
// revisions out again and counts a new era. Revisions hold the era, so that those of a
// later era are always higher and nothing of two eras compares as equal.

// eraSpan is how many revisions an era has; in decimal, so that logs show both parts.
const eraSpan = 1_000_000_000_000

// RevAt returns the revision with a number in an era.
func RevAt(era, number uint64) uint64 { return era*eraSpan + number }

// Era returns the era of a revision.
func Era(rev uint64) uint64 { return rev / eraSpan }

// Number returns a revision's number in its era. Numbers are given out again after a
// restore, so one in two eras names the same row only up to the copy.
func Number(rev uint64) uint64 { return rev % eraSpan }
