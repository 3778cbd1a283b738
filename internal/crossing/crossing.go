// Package crossing decides when a request leaves the failure domain of its gateway. Traffic
// between domains is slower and costs money, so leaving must save the caller time in
// proportion to the bytes that it moves. How much leaves follows from that: requests
// leave until the domains' waiting times differ by no more than the way is worth. The
// package has no I/O and no clock.
package crossing

import "time"

// Terms are the operator's terms for traffic between failure domains.
type Terms struct {
	// SecondsPerGB is how many seconds of callers' waiting a gigabyte that is moved
	// between domains must save; zero sets no price.
	SecondsPerGB float64
	// BytesPerS bounds the bytes a second between domains over all gateways; zero sets no
	// bound.
	BytesPerS float64
}

// bytesPerGB is the number of bytes of a gigabyte as traffic is billed.
const bytesPerGB = 1e9

const (
	// maxSavingShare is the share of the target up to which the price of the way counts: a
	// caller that waits so much longer at home is still on time.
	maxSavingShare = 0.1
	// spentSavingShare is the share of the target that leaving must save once the bound on
	// bytes is used up. Requests that home would answer late still leave.
	spentSavingShare = 0.5
)

// MinSaving returns the time that leaving the domain must save a request that moves the
// given bytes. target is the time within which its answer is due, or zero; spent is true
// when the bound on bytes is used up.
func (t Terms) MinSaving(bytes float64, target time.Duration, spent bool) time.Duration {
	if spent {
		return time.Duration(spentSavingShare * float64(target))
	}
	price := time.Duration(bytes / bytesPerGB * t.SecondsPerGB * float64(time.Second))
	return min(price, time.Duration(maxSavingShare*float64(target)))
}

// Budget is one gateway's part of the bound on bytes. The zero value has used nothing.
type Budget struct {
	// used are the bytes beyond what the bound has allowed since.
	used float64
	at   time.Duration
}

// budgetTime is the time over which bytes are averaged: a burst of a domain that is short
// for a moment may use what was saved before.
const budgetTime = 5 * time.Second

// Use counts bytes that were moved.
func (b *Budget) Use(bytes, perSecond float64, now time.Duration) {
	b.used = b.left(perSecond, now) + bytes
	b.at = now
}

// Spent reports whether the bytes of budgetTime are used up.
func (b *Budget) Spent(perSecond float64, now time.Duration) bool {
	return perSecond > 0 && b.left(perSecond, now) >= perSecond*budgetTime.Seconds()
}

func (b *Budget) left(perSecond float64, now time.Duration) float64 {
	return max(0, b.used-perSecond*max(0, now-b.at).Seconds())
}

// Sizes estimates the bytes that requests of a route move, from earlier ones. The zero
// value has seen none.
type Sizes struct{ mean float64 }

// sizeWeight is the weight of one answer in the mean.
const sizeWeight = 0.05

// Learn adds the bytes of an answer.
func (s *Sizes) Learn(bytes float64) {
	if s.mean == 0 {
		s.mean = bytes
	}
	s.mean += sizeWeight * (bytes - s.mean)
}

// Mean returns the mean bytes of an answer.
func (s *Sizes) Mean() float64 { return s.mean }
