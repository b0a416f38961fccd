package route

import "strings"

// maxHostBytes is the length of the longest host name (RFC 1035, section 2.3.4), without the trailing dot.
const maxHostBytes = 253

// hostBuffer has room for a normalized host name of any valid length.
type hostBuffer [maxHostBytes + 1]byte

// normalizeHost writes a request's host in lowercase, without port and trailing dot, into buffer and returns the
// written part. It returns nil for a host that is too long.
func normalizeHost(buffer *hostBuffer, host string) []byte {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	if len(host) > maxHostBytes {
		return nil
	}
	for i := range len(host) {
		c := host[i]
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		buffer[i] = c
	}
	return buffer[:len(host)]
}

// validHost reports whether a rule's host is a normalized host name.
func validHost(host string) bool {
	if host == "" || len(host) > maxHostBytes {
		return false
	}
	if strings.HasPrefix(host, ".") || strings.HasSuffix(host, ".") || strings.Contains(host, "..") {
		return false
	}
	for i := range len(host) {
		c := host[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '.' && c != '_' {
			return false
		}
	}
	return true
}

// UnambiguousPath reports whether a path has only one interpretation: it begins with a slash and has neither empty nor
// dot segments (RFC 3986, section 3.3), except that it may end with a slash.
func UnambiguousPath(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	for start := 1; start < len(path); {
		end := strings.IndexByte(path[start:], '/')
		if end < 0 {
			end = len(path) - start
		}
		segment := path[start : start+end]
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
		start += end + 1
	}
	return true
}
