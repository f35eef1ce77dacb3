package pathnormalizer

import (
	"net/url"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a path that becomes one of other segments, and against equivalent paths that differ.
func TestNormalize(t *testing.T) {
	for path, want := range map[string]string{
		"/ledger/17": "/ledger/17", "/ledger/closed%2F17": "/ledger/closed%2F17", "/ledger/closed%2f17": "/ledger/closed%2F17",
		"/l%65dger/%7euser": "/ledger/~user", "/caf%c3%a9/": "/caf%C3%A9/", "/café/": "/caf%C3%A9/", "/a%3Fb%25b;c": "/a%3Fb%25b;c",
		"/%": "/%", "/%4": "/%4", "/%zz": "/%zz", "//a/../b": "//a/../b", "/%252F": "/%252F", "/%2e%2e/a": "/../a", "": "",
	} {
		if got := Normalize(path); got != want {
			t.Errorf("%q: %q, want %q", path, got, want)
		}
	}
}

// Guards against a form that means another path, or has a normal form of its own.
func TestNormalFormMeansTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := "/" + rapid.StringMatching(`([a-z/.;é]|%[0-9a-fA-F]{2}){0,12}`).Draw(t, "path")
		normal := Normalize(path)
		before, errBefore := url.PathUnescape(path)
		after, errAfter := url.PathUnescape(normal)
		if errBefore != nil || errAfter != nil || before != after || Normalize(normal) != normal {
			t.Errorf("%q became %q: %q and %q, %v, %v", path, normal, before, after, errBefore, errAfter)
		}
	})
}
