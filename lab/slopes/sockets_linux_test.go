package slopes

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"os"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// TestListSocketsCountsBytes checks that the kernel's counter of a socket grows by the bytes sent
// through it, and that the socket is found among those of its process.
func TestListSocketsCountsBytes(t *testing.T) {
	const size = 12_345
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp4", listener.Addr().String())
	must.NoError(t, err)
	defer client.Close()
	server, err := listener.Accept()
	must.NoError(t, err)
	defer server.Close()

	before := serverSocket(t, client, server)
	_, err = client.Write(bytes.Repeat([]byte{'x'}, size))
	must.NoError(t, err)
	_, err = io.ReadFull(server, make([]byte, size))
	must.NoError(t, err)
	after := serverSocket(t, client, server)

	must.Eq(t, size, after.payload-before.payload)
	must.Greater(t, before.segments, after.segments)
	must.Eq(t, before.cookie, after.cookie)
	inodes, err := socketInodes(os.Getpid())
	must.NoError(t, err)
	must.SliceContains(t, inodes, after.inode)
}

func serverSocket(t *testing.T, client, server net.Conn) socket {
	t.Helper()
	sockets, err := listSockets()
	must.NoError(t, err)
	i := slices.IndexFunc(sockets, func(s socket) bool {
		return int(s.localPort) == server.LocalAddr().(*net.TCPAddr).Port &&
			int(s.remotePort) == client.LocalAddr().(*net.TCPAddr).Port
	})
	must.GreaterEq(t, 0, i, must.Sprint("the socket is not listed"))
	return sockets[i]
}

func TestUsageOfThisProcess(t *testing.T) {
	u, err := usageOf(os.Getpid())
	must.NoError(t, err)
	must.Greater(t, 1<<20, u.rss)
	must.Eq(t, "", settingsOf(os.Getpid()))
}

// TestParseSocketReadsTheKernelsStructs builds a message with the offsets of the kernel's
// inet_diag_msg and tcp_info.
func TestParseSocketReadsTheKernelsStructs(t *testing.T) {
	data := make([]byte, 72+4+4+4+144)
	binary.BigEndian.PutUint16(data[4:], 1111)
	binary.BigEndian.PutUint16(data[6:], 2222)
	binary.NativeEndian.PutUint64(data[44:], 33)
	binary.NativeEndian.PutUint32(data[68:], 44)
	// Another attribute comes first, padded to a multiple of four bytes.
	binary.NativeEndian.PutUint16(data[72:], 5)
	binary.NativeEndian.PutUint16(data[74:], 9)
	info := data[84:]
	binary.NativeEndian.PutUint16(data[80:], 4+144)
	binary.NativeEndian.PutUint16(data[82:], 2)
	binary.NativeEndian.PutUint64(info[120:], 1000)
	binary.NativeEndian.PutUint64(info[128:], 200)
	binary.NativeEndian.PutUint32(info[136:], 30)
	binary.NativeEndian.PutUint32(info[140:], 4)
	s, ok := parseSocket(data)
	must.True(t, ok)
	must.Eq(t, socket{inode: 44, cookie: 33, localPort: 1111, remotePort: 2222, payload: 1200, segments: 34}, s)
	for _, short := range []int{0, 71, 75, 83, len(data) - 1} {
		_, ok := parseSocket(data[:short])
		must.False(t, ok, must.Sprint(short))
	}
	// An older kernel's struct is shorter.
	binary.NativeEndian.PutUint16(data[80:], 4+100)
	_, ok = parseSocket(data[:84+100])
	must.False(t, ok)
}
