package config

import (
	"strconv"
	"strings"
)

const (
	ipv4Octets   = 4
	ipv6Groups   = 8
	ipv6MaxDigit = 4
)

// isAddress tells whether s is an IP number and a port, as in "10.0.0.7:8080"
// or "[fd00::7]:8080". Host names, zones, IPv4 parts inside IPv6 numbers and
// port zero are refused. Packages of core may not import net, so the form is
// checked here; the tests compare it with net/netip.
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
	head, tail, short := strings.Cut(s, "::")
	if !short {
		return ipv6GroupCount(s) == ipv6Groups
	}
	h, t := 0, 0
	if head != "" {
		h = ipv6GroupCount(head)
	}
	if tail != "" {
		t = ipv6GroupCount(tail)
	}
	return h >= 0 && t >= 0 && h+t < ipv6Groups
}

// ipv6GroupCount returns how many groups s has, or -1 if one is malformed.
func ipv6GroupCount(s string) int {
	groups := strings.Split(s, ":")
	for _, g := range groups {
		if len(g) == 0 || len(g) > ipv6MaxDigit || strings.Trim(g, "0123456789abcdefABCDEF") != "" {
			return -1
		}
	}
	if len(groups) > ipv6Groups {
		return -1
	}
	return len(groups)
}
