package lastaccept

import "golang.org/x/sys/unix"

// Offsets and bits of a TCP header, RFC 9293 section 3.1.
const (
	flagsOffset = 13
	synFlag     = 0x02
)

// dropNew has the system drop the first packet of new connections. Packets of connections
// that are being opened pass, so that these come to wait.
func dropNew(fd int) error {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: synFlag},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}
