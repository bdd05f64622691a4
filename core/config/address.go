package config

import (
	"strconv"
	"strings"
)

const (
	ipv4Octets    = 4
	ipv6Groups    = 8
	ipv6MaxDigits = 4 // hex digits per group
)

// isAddress reports whether s is an IP address and a port, such as
// "10.0.0.7:8080" or "[fd00::7]:8080". Host names, zones, IPv4 addresses
// embedded in IPv6 addresses and port zero are rejected. Packages in core may
// not import net, so the format is checked here; the tests compare the result
// with net/netip.
func isAddress(s string) bool {
	colon := strings.LastIndexByte(s, ':')
	if colon < 0 || !isPort(s[colon+1:]) {
		return false
	}
	host := s[:colon]
	if inner, ok := strings.CutPrefix(host, "["); ok {
		inner, ok = strings.CutSuffix(inner, "]")
		return ok && isIPv6(inner)
	}
	return isIPv4(host)
}

func isPort(s string) bool {
	n, err := strconv.ParseUint(s, 10, 16)
	return err == nil && n > 0 && s[0] != '+' && s[0] != '0'
}

func isIPv4(s string) bool {
	octets := strings.Split(s, ".")
	if len(octets) != ipv4Octets {
		return false
	}
	for _, o := range octets {
		n, err := strconv.ParseUint(o, 10, 8)
		if err != nil || strconv.FormatUint(n, 10) != o {
			return false
		}
	}
	return true
}

func isIPv6(s string) bool {
	head, tail, compressed := strings.Cut(s, "::")
	if !compressed {
		return ipv6GroupCount(s) == ipv6Groups
	}
	headGroups, tailGroups := 0, 0
	if head != "" {
		headGroups = ipv6GroupCount(head)
	}
	if tail != "" {
		tailGroups = ipv6GroupCount(tail)
	}
	return headGroups >= 0 && tailGroups >= 0 && headGroups+tailGroups < ipv6Groups
}

// ipv6GroupCount returns the number of groups in s, or -1 if one is malformed or
// there are too many.
func ipv6GroupCount(s string) int {
	groups := strings.Split(s, ":")
	for _, g := range groups {
		if len(g) == 0 || len(g) > ipv6MaxDigits || strings.Trim(g, "0123456789abcdefABCDEF") != "" {
			return -1
		}
	}
	if len(groups) > ipv6Groups {
		return -1
	}
	return len(groups)
}
