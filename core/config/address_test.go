package config_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavapaddle/core/config"
)

// accepted reports whether Validate accepts address as that of a server.
func accepted(address string) bool {
	d := config.Document{Servers: []config.BackendServer{{Address: address}}}
	for _, p := range d.Validate() {
		if p.Code == config.BadAddress {
			return false
		}
	}
	return true
}

func TestAddressesAgreeWithNetip(t *testing.T) {
	fragment := rapid.StringOfN(rapid.RuneFrom([]rune("0129af:.[]%x")), 0, 20, -1)
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "ip")
		six := netip.AddrFrom16([16]byte(b))
		four := netip.AddrFrom4([4]byte(b))
		address := rapid.OneOf(
			fragment,
			rapid.Map(fragment, func(s string) string { return s + ":80" }),
			rapid.Map(fragment, func(s string) string { return "[" + s + "]:80" }),
			rapid.Just(netip.AddrPortFrom(four, 80).String()),
			rapid.Just(netip.AddrPortFrom(six, 80).String()),
			rapid.Map(rapid.IntRange(-1, 70000), func(p int) string { return fmt.Sprintf("10.0.0.1:%d", p) }),
		).Draw(t, "address")
		want, err := netip.ParseAddrPort(address)
		// config rejects IPv4 addresses embedded in IPv6, zones and port zero.
		ok := err == nil && !want.Addr().Is4In6() && want.Addr().Zone() == "" && want.Port() != 0
		if accepted(address) != ok {
			t.Fatalf("%q: accepted %t, netip says %t", address, !ok, ok)
		}
	})
	require.True(t, accepted("[fd00::1]:8080"))
	require.False(t, accepted("localhost:8080"))
}
