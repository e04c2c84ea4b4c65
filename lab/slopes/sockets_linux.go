package slopes

import (
	"encoding/binary"
	"fmt"
	"syscall"
)

// Numbers of the kernel's interface for TCP sockets, sock_diag(7).
const (
	netlinkDiag     = 4
	diagByFamily    = 20
	diagInfo        = 2
	requestBytes    = 56
	messageBytes    = 72
	stateEstablish  = 1
	stateCloseWait  = 8
	attributeHeader = 4
	receiveBuffer   = 1 << 20
)

// Offsets in the kernel's struct tcp_info, and the least size that has all of them.
const (
	infoBytesAcked    = 120
	infoBytesReceived = 128
	infoSegmentsOut   = 136
	infoSegmentsIn    = 140
	infoBytes         = 144
)

// listSockets returns the open TCP sockets of this machine.
func listSockets() ([]socket, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkDiag)
	if err != nil {
		return nil, fmt.Errorf("the kernel's socket counters can't be read: %w", err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := syscall.Sendto(fd, diagRequest(), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return nil, err
	}
	var sockets []socket
	buffer := make([]byte, receiveBuffer)
	for {
		n, _, err := syscall.Recvfrom(fd, buffer, 0)
		if err != nil {
			return nil, err
		}
		messages, err := syscall.ParseNetlinkMessage(buffer[:n])
		if err != nil {
			return nil, err
		}
		for _, m := range messages {
			switch m.Header.Type {
			case syscall.NLMSG_DONE:
				return sockets, nil
			case syscall.NLMSG_ERROR:
				return nil, fmt.Errorf("the kernel refused to list its sockets")
			}
			if s, ok := parseSocket(m.Data); ok {
				sockets = append(sockets, s)
			}
		}
	}
}

// diagRequest returns the netlink request for all open TCP sockets over IPv4 with their counters.
func diagRequest() []byte {
	b := make([]byte, syscall.NLMSG_HDRLEN+requestBytes)
	binary.NativeEndian.PutUint32(b, uint32(len(b)))
	binary.NativeEndian.PutUint16(b[4:], diagByFamily)
	binary.NativeEndian.PutUint16(b[6:], syscall.NLM_F_REQUEST|syscall.NLM_F_DUMP)
	body := b[syscall.NLMSG_HDRLEN:]
	body[0] = syscall.AF_INET
	body[1] = syscall.IPPROTO_TCP
	body[2] = 1 << (diagInfo - 1)
	binary.NativeEndian.PutUint32(body[4:], 1<<stateEstablish|1<<stateCloseWait)
	return b
}

// parseSocket parses one struct inet_diag_msg and its counters. It returns false when the message
// is malformed or has no counters.
func parseSocket(data []byte) (socket, bool) {
	if len(data) < messageBytes {
		return socket{}, false
	}
	s := socket{
		localPort:  binary.BigEndian.Uint16(data[4:]),
		remotePort: binary.BigEndian.Uint16(data[6:]),
		cookie:     binary.NativeEndian.Uint64(data[44:]),
		inode:      binary.NativeEndian.Uint32(data[68:]),
	}
	for rest := data[messageBytes:]; len(rest) >= attributeHeader; {
		length := int(binary.NativeEndian.Uint16(rest))
		if length < attributeHeader || length > len(rest) {
			return s, false
		}
		if binary.NativeEndian.Uint16(rest[2:]) == diagInfo && length-attributeHeader >= infoBytes {
			info := rest[attributeHeader:length]
			s.payload = binary.NativeEndian.Uint64(info[infoBytesAcked:]) + binary.NativeEndian.Uint64(info[infoBytesReceived:])
			s.segments = uint64(binary.NativeEndian.Uint32(info[infoSegmentsOut:])) + uint64(binary.NativeEndian.Uint32(info[infoSegmentsIn:]))
			return s, true
		}
		aligned := (length + 3) &^ 3
		rest = rest[min(aligned, len(rest)):]
	}
	return s, false
}
