package soak

import (
	"encoding/binary"
	"fmt"
	"net"
	"syscall"
)

// Values and offsets of the kernel's interface, as in sock_diag(7).
const (
	netlinkSockDiag   = 4
	sockDiagByFamily  = 20
	netlinkHeader     = 16
	diagRequestLength = netlinkHeader + 56
	diagInodeOffset   = netlinkHeader + 68
	anySocket         = 1<<32 - 1
	loopback          = "\x7f\x00\x00\x01"
)

// SocketError is returned for a socket that the kernel doesn't find.
type SocketError struct {
	LocalPort, RemotePort int
}

// Error implements error.
func (e *SocketError) Error() string {
	return fmt.Sprintf("no socket has the ports %d and %d", e.LocalPort, e.RemotePort)
}

// socketOf returns the link in /proc/PID/fd of the loopback socket with two ports. It asks the kernel for this
// socket alone: the table of all sockets of a busy machine takes 0.1 s to read, while peers wait for a session.
func socketOf(local, remote int) (string, error) {
	conn, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return "", err
	}
	defer func() { _ = syscall.Close(conn) }()
	if err := syscall.Sendto(conn, diagRequest(local, remote), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return "", err
	}
	answer := make([]byte, 4<<10)
	n, _, err := syscall.Recvfrom(conn, answer, 0)
	if err != nil {
		return "", err
	}
	const kindOffset, inodeBytes = 4, 4
	if n < diagInodeOffset+inodeBytes || binary.NativeEndian.Uint16(answer[kindOffset:]) != sockDiagByFamily {
		return "", &SocketError{LocalPort: local, RemotePort: remote}
	}
	return fmt.Sprintf("socket:[%d]", binary.NativeEndian.Uint32(answer[diagInodeOffset:])), nil
}

// diagRequest returns the request for one TCP socket: a netlink header and an inet_diag_req_v2.
func diagRequest(local, remote int) []byte {
	order := binary.NativeEndian
	request := make([]byte, 0, diagRequestLength)
	request = order.AppendUint32(request, diagRequestLength)
	request = order.AppendUint16(request, sockDiagByFamily)
	request = order.AppendUint16(request, syscall.NLM_F_REQUEST)
	request = append(request, make([]byte, 8)...) // sequence number and sender
	request = append(request, syscall.AF_INET, syscall.IPPROTO_TCP, 0, 0)
	request = order.AppendUint32(request, anySocket) // in all states
	request = binary.BigEndian.AppendUint16(request, uint16(local))
	request = binary.BigEndian.AppendUint16(request, uint16(remote))
	for range 2 { // addresses have room for IPv6
		request = append(request, loopback...)
		request = append(request, make([]byte, net.IPv6len-len(loopback))...)
	}
	request = order.AppendUint32(request, 0)         // on any interface
	request = order.AppendUint32(request, anySocket) // without a cookie, which has two parts
	return order.AppendUint32(request, anySocket)
}
