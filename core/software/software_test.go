package software_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/core/software"
)

var start = time.Unix(1000, 0)

func server(version string) fleet.Server { return fleet.Server{Service: "s", Software: version} }

func TestHistoryRemembersVersionsThatHaveGone(t *testing.T) {
	t.Parallel()
	var h software.History
	_, ok := h.Only(start, "s")
	require.False(t, ok, "nothing is known")
	h.Observe(start, []fleet.Server{server("v1"), server("v1")})
	v, ok := h.Only(start, "s")
	require.True(t, ok)
	require.Equal(t, "v1", v)
	require.Empty(t, h.Mixed(start))
	gone := start.Add(time.Second)
	h.Observe(gone, []fleet.Server{server("v1"), server("v2")})
	for at := gone; at.Sub(gone) <= software.Retention; at = at.Add(time.Second) {
		h.Observe(at, []fleet.Server{server("v2")})
		_, ok = h.Only(at, "s")
		require.False(t, ok)
		require.Equal(t, []string{"s"}, h.Mixed(at))
	}
	later := gone.Add(software.Retention + time.Second)
	h.Observe(later, []fleet.Server{server("v2")})
	v, ok = h.Only(later, "s")
	require.True(t, ok)
	require.Equal(t, "v2", v)
}

// TestVersionsInServiceDoNotExpire guards against versions that are forgotten while the list of servers doesn't change.
func TestVersionsInServiceDoNotExpire(t *testing.T) {
	t.Parallel()
	var h software.History
	h.Observe(start, []fleet.Server{server("v1"), server("v2")})
	later := start.Add(10 * software.Retention)
	require.Equal(t, []string{"v1", "v2"}, h.Versions(later, "s"))
	require.Equal(t, software.Ages{"s": {"v1": 0, "v2": 0}}, h.Ages(later))
	h.Observe(later, []fleet.Server{server("v2")})
	require.Equal(t, []string{"v1", "v2"}, h.Versions(later.Add(software.Retention), "s"), "the first was in service until then")
	require.Equal(t, []string{"v2"}, h.Versions(later.Add(software.Retention+time.Second), "s"))
}

// TestInheritedVersionsExpireAtTheSameTime guards against versions that are remembered for longer with each node that passes
// them on.
func TestInheritedVersionsExpireAtTheSameTime(t *testing.T) {
	t.Parallel()
	var a, b, c software.History
	a.Observe(start, []fleet.Server{server("v1")})
	a.Observe(start, nil)
	half := start.Add(software.Retention / 2)
	b.Inherit(half, a.Ages(half))
	c.Inherit(half, b.Ages(half))
	require.Equal(t, []string{"v1"}, c.Versions(start.Add(software.Retention), "s"))
	require.Empty(t, c.Versions(start.Add(software.Retention+time.Second), "s"))
	require.Empty(t, c.Ages(start.Add(software.Retention+time.Second)))
}

func TestAgesHasMore(t *testing.T) {
	t.Parallel()
	one := software.Ages{"s": {"v1": 0}}
	two := software.Ages{"s": {"v1": 9, "v2": 0}}
	require.True(t, two.HasMore(one))
	require.True(t, one.HasMore(nil))
	require.True(t, one.HasMore(software.Ages{"t": {"v1": 0}}))
	require.False(t, one.HasMore(two))
	require.False(t, software.Ages{}.HasMore(nil))
}

func TestOrigins(t *testing.T) {
	t.Parallel()
	var o software.Origins
	_, ok := o.Find(start, "a")
	require.False(t, ok)
	o.Add(start, software.Origin{Stream: "a", Service: "s", Version: "v1"})
	o.Add(start.Add(time.Second), software.Origin{Stream: "a", Service: "s", Version: "v2"})
	v, ok := o.Find(start, "a")
	require.True(t, ok)
	require.Equal(t, "v1", v.Version, "a stream begins once")
	_, ok = o.Find(start.Add(software.Retention+time.Second), "a")
	require.False(t, ok)
}

func TestOriginsAfter(t *testing.T) {
	t.Parallel()
	var o software.Origins
	for i := range 10 {
		o.Add(start, software.Origin{Stream: fmt.Sprint(i), Service: []string{"s", "t"}[i%2], Version: "v1"})
	}
	all, number := o.After(start, 0, nil, 100)
	require.Len(t, all, 10)
	more, number := o.After(start, number, nil, 100)
	require.Empty(t, more)
	o.Add(start, software.Origin{Stream: "new", Service: "s", Version: "v2"})
	more, _ = o.After(start, number, nil, 100)
	require.Equal(t, []software.Origin{{Stream: "new", Service: "s", Version: "v2"}}, more)
	some, number := o.After(start, 0, []string{"t"}, 3)
	require.Len(t, some, 3)
	rest, _ := o.After(start, number, []string{"t"}, 100)
	require.Len(t, rest, 2)
}

func TestOriginsAreBounded(t *testing.T) {
	t.Parallel()
	var o software.Origins
	const added = 40_000
	for i := range added {
		o.Add(start, software.Origin{Stream: fmt.Sprint(i), Service: "s", Version: "v1"})
	}
	_, ok := o.Find(start, "0")
	require.False(t, ok)
	_, ok = o.Find(start, fmt.Sprint(added-1))
	require.True(t, ok)
}

// BenchmarkOrigins measures the addition of an origin while as many as are kept are known.
func BenchmarkOrigins(b *testing.B) {
	var o software.Origins
	ids := make([]string, 1<<16)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		o.Add(start, software.Origin{Stream: ids[i%len(ids)], Service: "s", Version: "v1"})
	}
}
