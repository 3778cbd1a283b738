// Package integration holds the tests that run real processes of the product
// behind a fault-injecting proxy.
package integration
