package apikey_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/apikey"
)

func TestBearer(t *testing.T) {
	for _, tt := range []struct {
		values  []string
		key     string
		problem apikey.Problem
	}{
		{[]string{"Bearer k1"}, "k1", ""},
		{[]string{"bEARER  k1 "}, "k1", ""},
		{[]string{"Bearer a.b-c_d~e+f/g=="}, "a.b-c_d~e+f/g==", ""},
		{nil, "", apikey.Missing},
		{[]string{""}, "", apikey.Missing},
		{[]string{"  "}, "", apikey.Missing},
		{[]string{"Bearer k1", "Bearer k1"}, "", apikey.Repeated},
		{[]string{"Basic k1"}, "", apikey.OtherScheme},
		{[]string{"k1"}, "", apikey.OtherScheme},
		{[]string{"Bearer"}, "", apikey.Malformed},
		{[]string{"Bearer "}, "", apikey.Malformed},
		{[]string{"Bearer a b"}, "", apikey.Malformed},
		{[]string{"Bearer k1,Bearer k2"}, "", apikey.Malformed},
		{[]string{"Bearer k\x001"}, "", apikey.Malformed},
		{[]string{"Bearer " + strings.Repeat("k", apikey.MaxKeyBytes+1)}, "", apikey.Malformed},
	} {
		key, err := apikey.Bearer(tt.values)
		require.Equal(t, tt.key, key, tt.values)
		if tt.problem == "" {
			require.NoError(t, err, tt.values)
			continue
		}
		var credErr *apikey.CredentialsError
		require.ErrorAs(t, err, &credErr, tt.values)
		require.Equal(t, tt.problem, credErr.Problem, tt.values)
		require.NotContains(t, err.Error(), "k1")
	}
}

func TestIndexFindsValueOfDigest(t *testing.T) {
	var x apikey.Index[string]
	_, ok := x.Find(apikey.Sum("k1"))
	require.False(t, ok)
	x.Add(apikey.Sum("k1"), "a")
	x.Add(apikey.Sum("k2"), "b")
	owner, ok := x.Find(apikey.Sum("k2"))
	require.True(t, ok)
	require.Equal(t, "b", owner)
	_, ok = x.Find(apikey.Sum("k3"))
	require.False(t, ok)
	require.Equal(t, 2, x.Len())
}

func TestDigestFormats(t *testing.T) {
	d := apikey.Sum("k1")
	require.Len(t, d.String(), 8)
	parsed, ok := apikey.Parse(d.Hex())
	require.True(t, ok)
	require.Equal(t, d, parsed)
	_, ok = apikey.Parse("zz")
	require.False(t, ok)
}

func FuzzBearer(f *testing.F) {
	for _, s := range []string{"Bearer k1", "bearer", "Basic x", "Bearer a,b", "\x00", "Bearer \t k"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		key, err := apikey.Bearer([]string{s})
		if err == nil {
			require.NotEmpty(t, key)
			require.LessOrEqual(t, len(key), apikey.MaxKeyBytes)
			require.NotContains(t, key, " ")
			return
		}
		require.Empty(t, key)
	})
}

func BenchmarkFind(b *testing.B) {
	var x apikey.Index[string]
	for _, k := range []string{"k1", "k2", "k3"} {
		x.Add(apikey.Sum(k), k)
	}
	b.ReportAllocs()
	values := []string{"Bearer k2"}
	for b.Loop() {
		key, err := apikey.Bearer(values)
		if err != nil {
			b.Fatal(err)
		}
		if _, ok := x.Find(apikey.Sum(key)); !ok {
			b.Fatal("key not found")
		}
	}
}
