package peers

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// maxQueued is the longest time that a datagram counts as having waited in the socket: a longer one
// is a step of the clock.
const maxQueued = time.Minute

// timespecBytes is the size of the kernel's struct timespec: seconds and nanoseconds, 64 bits each.
const timespecBytes = 16

// arrivalControlBytes is the size of the control message with the time of arrival.
var arrivalControlBytes = unix.CmsgSpace(timespecBytes)

// stampArrivals has the kernel tell when datagrams arrived. A process that was frozen reads them
// later, when the ages in them are out of date.
func stampArrivals(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(optErr)
}

// arrivalTime returns when a datagram arrived, given its control messages; now if they do not tell.
func arrivalTime(control []byte, now time.Time) time.Time {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return now
	}
	for _, m := range messages {
		if m.Header.Level != unix.SOL_SOCKET || m.Header.Type != unix.SO_TIMESTAMPNS || len(m.Data) < timespecBytes {
			continue
		}
		seconds, nanoseconds := binary.NativeEndian.Uint64(m.Data), binary.NativeEndian.Uint64(m.Data[8:])
		if queued := now.Round(0).Sub(time.Unix(int64(seconds), int64(nanoseconds))); queued > 0 && queued <= maxQueued {
			return now.Add(-queued)
		}
	}
	return now
}
