package wagclaim

import (
	"bytes"
	"testing"
	"time"
)

// Guards against keys of an invalid length, and against digests that differ for
// the same key.
func FuzzParseKey(f *testing.F) {
	for _, text := range []string{"", "a", "0190163d-8694-739b-aea5-966c26f8ad91", "0190163d-8694-739b-aea5-966c26f8ad9\x00", "\xff"} {
		f.Add("caller", text)
	}
	f.Fuzz(func(t *testing.T, caller, text string) {
		k, err := ParseKey(caller, text)
		if err == nil && (len(text) == 0 || len(text) > MaxKeyBytes) {
			t.Fatalf("a key of %d bytes was accepted", len(text))
		}
		if again, _ := ParseKey(caller, text); again != k {
			t.Fatal("the same key has two digests")
		}
	})
}

// Guards against texts that pass verification although no host signed them.
func FuzzIssuedKey(f *testing.F) {
	secrets := Secrets{[]byte("one"), []byte("two")}
	f.Add(secrets.Sign(IssuedKey{Incarnation: "a-1", Counter: 3, Expires: testTime}))
	f.Add("wag1.a-1.03.5.x")
	f.Add("wag1....")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := secrets.Verify(text)
		if err == nil && secrets.Sign(k) != text && (Secrets{secrets[1]}).Sign(k) != text {
			t.Fatalf("%q was accepted but not issued", text)
		}
	})
}

// Guards against values that decode to records outside their limits, or that do
// not survive encoding and decoding again.
func FuzzDecode(f *testing.F) {
	o := &Object{Writer: "a", Sequence: 9, Archives: []Archive{{Name: "claims/x/1/2-a-3", Expires: testTime}}}
	o.Records = []Record{
		{Key: Digest{1}, State: Open, ClaimedAt: testTime},
		{Key: Digest{2}, State: Settled, ClaimedAt: testTime, Status: 200, Body: []byte("x"), BodyKept: true},
	}
	f.Add(o.AppendTo(nil))
	f.Add([]byte{1, 0, 0, 0, 255, 255, 255, 255, 15})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		o, err := Decode(value)
		if err != nil {
			return
		}
		text := o.AppendTo(nil)
		again, err := Decode(text)
		if err != nil || !bytes.Equal(again.AppendTo(nil), text) {
			t.Fatalf("the object changed when it was encoded and decoded again: %v", err)
		}
		for _, r := range o.Records {
			if len(r.Body) > MaxBodyBytes || r.ClaimedAt.Before(time.UnixMilli(0)) {
				t.Fatal("a decoded record exceeds its limits")
			}
		}
	})
}
