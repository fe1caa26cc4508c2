// Package hop copies the headers of requests and answers from one connection to the next,
// without those that apply to a single connection.
package hop

import (
	"net/http"
	"strings"
)

// headers apply to a single connection and are not forwarded.
var headers = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// listed returns the additional hop-by-hop headers that a Connection header lists.
func listed(header http.Header) map[string]bool {
	var names map[string]bool
	for _, line := range header["Connection"] {
		for _, token := range strings.Split(line, ",") {
			if names == nil {
				names = make(map[string]bool)
			}
			names[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return names
}

// Copy copies the headers of an endpoint's answer to the caller's.
func Copy(to, from http.Header) {
	drop := listed(from)
	for name, values := range from {
		if !headers[name] && !drop[name] {
			to[name] = values
		}
	}
	if _, found := to["Content-Type"]; !found {
		to["Content-Type"] = nil // net/http would otherwise guess one
	}
}

// Append appends the encoded headers of a caller's request that are forwarded to an
// endpoint: all but those for which reserved returns true.
func Append(head []byte, header http.Header, reserved func(name string) bool) []byte {
	drop := listed(header)
	for name, values := range header {
		if headers[name] || drop[name] || reserved(name) {
			continue
		}
		for _, value := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, value...)
			head = append(head, "\r\n"...)
		}
	}
	return head
}
