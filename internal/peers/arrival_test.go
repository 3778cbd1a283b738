package peers

import (
	"net"
	"testing"
	"time"
)

// TestArrivalOfAQueuedDatagram: a process that was frozen reads a datagram long after it came.
func TestArrivalOfAQueuedDatagram(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := stampArrivals(conn); err != nil {
		t.Fatal(err)
	}
	sender, err := net.Dial("udp4", conn.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = sender.Close() })
	before := time.Now()
	if _, err := sender.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	const frozen = 300 * time.Millisecond
	time.Sleep(frozen)
	control := make([]byte, arrivalControlBytes)
	_, n, _, _, err := conn.ReadMsgUDPAddrPort(make([]byte, 1), control)
	if err != nil {
		t.Fatal(err)
	}
	if at := arrivalTime(control[:n], time.Now()); at.Before(before.Add(-frozen/3)) || at.After(sent.Add(frozen/3)) {
		t.Errorf("arrived %v after it was sent", at.Sub(before))
	}
	if now := time.Now(); !arrivalTime(nil, now).Equal(now) {
		t.Error("without a control message, a datagram did not arrive now")
	}
}
