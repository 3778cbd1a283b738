package sharedrate

import "time"

// Keeper is what one gateway knows of limits and does to keep them. It is not safe for
// concurrent use.
type Keeper struct {
	words words
}

// Hear takes in what an upstream has said in an answer to this gateway. It reports
// whether its rate has changed.
func (k *Keeper) Hear(b Boot, said Word) (changed bool) { return k.words.hear(b, said, true) }

// Limit returns the rate that an upstream takes, and its age.
func (k *Keeper) Limit(b Boot, now time.Duration) (perSecond float64, age time.Duration, ok bool) {
	w, ok := k.words.limit(b)
	if !ok {
		return 0, 0, false
	}
	return w.PerSecond, now - w.At, true
}

// Forget drops what upstreams have said that are not listed any more.
func (k *Keeper) Forget(listed map[Boot]bool) { k.words.forget(listed) }
