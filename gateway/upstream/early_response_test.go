package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// earlyServer answers each request right after its head, without reading the body: with a response
// without a length, of which it sends a part. finish ends the connection.
func earlyServer(t *testing.T, head string, finish func(c *net.TCPConn, r *bufio.Reader)) (addr string) {
	return startTarget(t, func(c net.Conn, r *bufio.Reader) {
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = r.ReadString('\n'); err != nil {
				return
			}
		}
		_, _ = io.WriteString(c, head+strings.Repeat("x", 4000))
		finish(c.(*net.TCPConn), r)
	})
}

func reset(c *net.TCPConn, _ *bufio.Reader) {
	time.Sleep(2 * time.Millisecond)
	_ = c.SetLinger(0)
}

// readUpload uploads a body of the given size and returns what was read of the response.
func readUpload(addr string, size int) (body []byte, err error) {
	links := NewLinks(LinksOptions{})
	p := NewPool(addr, func() int { return 1 }, links)
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, &Request{Method: "POST", Path: "/", Host: "h", Body: make([]byte, size)})
	if err != nil {
		return nil, err
	}
	body, err = io.ReadAll(resp.Body)
	resp.Finish(err == nil)
	return body, err
}

// Guards against a response without a length that looks complete although the target has reset the
// connection: the write of the upload may consume the error of the reset, and the read then sees an
// ordinary end.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	const rounds = 100
	for _, size := range []int{1 << 10, 64 << 10, 4 << 20} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			g := NewWithT(t)
			addr := earlyServer(t, "HTTP/1.1 200 OK\r\n\r\n", reset)
			complete := 0
			for range rounds {
				if _, err := readUpload(addr, size); err == nil {
					complete++
				}
			}
			g.Expect(complete).To(BeZero(), "of %d responses that were reset", rounds)
		})
	}
}

// Guards against taking an early response for broken off that has ended regularly: the target has read the
// rest of the upload afterwards.
func TestEarlyResponseWithoutLengthMayBeComplete(t *testing.T) {
	for _, size := range []int{1 << 10, 64 << 10, 4 << 20} {
		g := NewWithT(t)
		addr := earlyServer(t, "HTTP/1.1 200 OK\r\n\r\n", func(c *net.TCPConn, r *bufio.Reader) {
			_ = c.CloseWrite()
			_, _ = io.CopyN(io.Discard, r, int64(size))
		})
		body, err := readUpload(addr, size)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(HaveLen(4000))
	}
}

// Guards against responses whose status is none of HTTP's: such a status made the handler panic.
func TestStatusesOutsideTheRangeAreNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		g := NewWithT(t)
		addr := earlyServer(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 4000\r\n\r\n", func(*net.TCPConn, *bufio.Reader) {})
		_, err := readUpload(addr, 100)
		g.Expect(err).To(MatchError(ContainSubstring("status "+status)), status)
	}
	g := NewWithT(t)
	addr := earlyServer(t, "HTTP/1.1 599 Odd\r\nContent-Length: 4000\r\n\r\n", func(*net.TCPConn, *bufio.Reader) {})
	_, err := readUpload(addr, 100)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against the reuse of a connection on which the target has answered before the upload was written, though the
// upload ends later: the kernel may hold the rest for a target that does not read, and the next request waits behind it.
func TestConnectionOfAnEarlyResponseIsNotReused(t *testing.T) {
	g := NewWithT(t)
	read := make(chan struct{})
	addr := earlyServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n", func(_ *net.TCPConn, r *bufio.Reader) {
		<-read
		_, _ = io.Copy(io.Discard, r)
	})
	p := NewPool(addr, func() int { return 2 }, NewLinks(LinksOptions{}))
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request := &Request{Method: "POST", Path: "/", Host: "h", Body: make([]byte, 4<<20)}
	resp, err := p.Do(ctx, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Consistently(resp.upload.ended, 50*time.Millisecond).Should(BeFalse(), "the target has not read it")
	close(read)
	_, err = io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	<-resp.upload.done
	g.Expect(resp.upload.err).NotTo(HaveOccurred())
	resp.Finish(true)
	resp, err = p.Do(ctx, request)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Finish(false)
	g.Expect(resp.conn.reused).To(BeFalse())
}
