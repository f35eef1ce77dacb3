// Package pathnormalizer brings paths of request targets into a form in which those that mean the same are equal.
//
// A path is compared as its client encoded it. Decoded, %2F would be a slash, and the path one of other segments. Paths that
// differ only in how they encode the same characters are equivalent (RFC 3986, 6.2.2): characters that need no encoding are
// decoded, and what stays encoded has capital hex digits.
//
// # Usage
//
//	path := pathnormalizer.Normalize(target)
//	match := strings.HasPrefix(path, pathnormalizer.Normalize(prefix))
package pathnormalizer

import "strings"

const hexDigits = "0123456789ABCDEF"

// Normalize returns the normal form of a path.
func Normalize(path string) string {
	if !strings.ContainsFunc(path, func(r rune) bool { return r == '%' || r >= 0x80 }) {
		return path
	}
	var out strings.Builder
	out.Grow(len(path))
	for i := 0; i < len(path); i++ {
		c, encoded := path[i], false
		if c == '%' && i+2 < len(path) {
			if high, low := hexValue(path[i+1]), hexValue(path[i+2]); high >= 0 && low >= 0 {
				c, encoded = byte(high<<4|low), true
				i += 2
			}
		}
		if c >= 0x80 || encoded && !isUnreserved(c) {
			out.WriteByte('%')
			out.WriteByte(hexDigits[c>>4])
			out.WriteByte(hexDigits[c&0xf])
			continue
		}
		out.WriteByte(c)
	}
	return out.String()
}

// isUnreserved reports whether a character needs no encoding (RFC 3986, 2.3).
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~'
}

// hexValue returns the value of a hex digit, or -1.
func hexValue(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
