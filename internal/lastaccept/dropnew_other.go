//go:build !linux

package lastaccept

import "golang.org/x/sys/unix"

// dropNew is not available on this system.
func dropNew(int) error { return unix.EOPNOTSUPP }
