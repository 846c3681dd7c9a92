package api

import (
	"strings"
	"testing"
)

// TestDecodeLimits checks which documents Decode accepts and why it rejects others.
func TestDecodeLimits(t *testing.T) {
	huge := `{"id":"` + strings.Repeat("x", MaxBody) + `"}`
	deep := strings.Repeat("[", 20_000)
	cases := []struct{ name, text, want string }{
		{"valid", `{"id":"j"}`, ""},
		{"too large", huge, "has more than 8388608 bytes"},
		{"nested too deep", deep, "malformed document"},
		{"unknown field", `{"idd":"j"}`, `unknown field "idd"`},
		{"second document", `{"id":"j"}{"id":"k"}`, "more follows"},
		{"truncated", `{"id":`, "malformed document"},
		{"empty", ``, "malformed document"},
		{"wrong type", `{"tasks":"many"}`, "malformed document"},
	}
	for _, c := range cases {
		var j Job
		err := Decode(strings.NewReader(c.text), &j)
		got := ""
		if err != nil {
			got = err.Error()
		}
		if (c.want == "") != (err == nil) || !strings.Contains(got, c.want) {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

func TestCheckAddress(t *testing.T) {
	for _, c := range []struct {
		address string
		ok      bool
	}{
		{"192.0.2.7:80", true}, {"[2001:db8::1]:80", true}, {"127.0.0.1:0", true},
		{"host:80", false}, {"192.0.2.7", false}, {"192.0.2.7:http", false}, {"192.0.2.7:70000", false}, {"", false},
	} {
		if err := CheckAddress(c.address); (err == nil) != c.ok {
			t.Errorf("%q: got %v, want valid %v", c.address, err, c.ok)
		}
	}
}
