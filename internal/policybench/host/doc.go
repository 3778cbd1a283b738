// Package host compares the choice of host and the admission of the product
// with plain baselines on engine models under a virtual clock. The same seed
// gives the same figures.
package host
