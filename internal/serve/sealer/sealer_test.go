package sealer

import (
	"net/netip"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

func token() *Token {
	return &Token{
		Organisation: "desk", Instance: "r~1", Stream: "r~1.3", Endpoint: "engine-1", Offset: 300,
		Holders: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:80")},
	}
}

func TestOpen(t *testing.T) {
	s := New(Config{Key: []byte("key")})
	good := s.Seal(token())
	if got, err := s.Open(good, "desk"); err != nil || !reflect.DeepEqual(got, token()) {
		t.Fatalf("%+v %v", got, err)
	}
	cases := []struct{ name, text, organisation string }{
		{"another organisation", good, "branch"},
		{"another key", New(Config{Key: []byte("other")}).Seal(token()), "desk"},
		{"truncated", good[:len(good)-1], "desk"},
		{"empty", "", "desk"},
		{"not base64", "?" + good, "desk"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := s.Open(c.text, "desk"); c.organisation == "desk" && err == nil {
				t.Error("opened")
			}
			if _, err := s.Open(c.text, "branch"); err == nil {
				t.Error("opened by another organisation")
			}
		})
	}
}

func TestOpenExpired(t *testing.T) {
	// Guards against a token that is still accepted after its lifetime, as after a theft.
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Key: []byte("key")})
		text := s.Seal(token())
		time.Sleep(defaultLifetime - 2*time.Second)
		if _, err := s.Open(text, "desk"); err != nil {
			t.Fatal("expired early")
		}
		time.Sleep(4 * time.Second)
		if _, err := s.Open(text, "desk"); err == nil {
			t.Fatal("opened after its lifetime")
		}
	})
}

func TestOpenForged(t *testing.T) {
	// Guards against a forged token: one with any character changed must be refused, and
	// arbitrary text must not make Open panic.
	s := New(Config{Key: []byte("key")})
	good := s.Seal(token())
	rapid.Check(t, func(rt *rapid.T) {
		b := []byte(good)
		at := rapid.IntRange(0, len(b)-2).Draw(rt, "at")
		c := rapid.SampledFrom([]byte("ABCabc012-_")).Draw(rt, "character")
		if b[at] == c {
			return
		}
		b[at] = c
		if _, err := s.Open(string(b), "desk"); err == nil {
			rt.Fatalf("opened with character %d changed", at)
		}
		_, _ = s.Open(rapid.String().Draw(rt, "noise"), "desk")
	})
}
