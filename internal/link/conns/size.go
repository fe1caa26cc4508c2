package conns

import (
	"bytes"
	"strconv"
)

// peekBytes is the part of a request that is looked at before it is read.
const peekBytes = 2 << 10

// requestSize returns the size of a request by its first bytes, 0 if they don't state it.
func requestSize(first []byte) int {
	head, _, whole := bytes.Cut(first, []byte("\r\n\r\n"))
	if !whole {
		return 0
	}
	size := len(head) + len("\r\n\r\n")
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return 0
		case bytes.EqualFold(name, []byte("Content-Length")):
			body, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 30)
			if err != nil {
				return 0
			}
			return size + int(body)
		}
	}
	return size
}
