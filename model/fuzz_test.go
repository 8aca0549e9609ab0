package model

import (
	"encoding/json"
	"testing"
)

// FuzzParseContract guards against contracts that ParseContract accepts, but
// rejects once they have been encoded again.
func FuzzParseContract(f *testing.F) {
	f.Add([]byte(`{"organisation":"a","rate":1,"burst":2}`))
	f.Add([]byte(`{"organisation":"a","rate":1,"burst":2,"adapters":[{"name":"x","versions":["v1"]}],"routes":[{"name":"r","open":true}]}`))
	f.Add([]byte(`{"organisation":"a","rate":1e9,"burst":-1,"deadline":"1h","priority":0}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		c, err := ParseContract(document)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseContract(encoded); err != nil {
			t.Fatalf("%s: %s", encoded, err)
		}
	})
}

// FuzzParseKey guards against keys that are accepted although their organisation
// is not a valid name or their ID is empty.
func FuzzParseKey(f *testing.F) {
	f.Add("ctk.a.abcdefgh.abcdefgh")
	f.Add("ctk..a.b")
	f.Add("Bearer ctk.a.b.c")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := ParseKey(text)
		if err == nil && (!ValidName(string(k.Organisation)) || k.ID == "") {
			t.Fatalf("%q was parsed as %+v", text, k)
		}
	})
}
