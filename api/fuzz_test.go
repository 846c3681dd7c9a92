package api

import (
	"bytes"
	"testing"
)

// FuzzDecode checks that no document makes a conversion panic or yields a job or a
// backend server out of its limits.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"j1","pool":"p","tasks":2,"size":{"milli-cpu":1}}`))
	f.Add([]byte(`{"id":"e","base":3,"routes":[{"name":"r","timeout":"2s"}]}`))
	f.Add([]byte(`{"worker":{"incarnation":1},"usage":{"age-seconds":-1},"reports":[{"kind":"x"}]}`))
	f.Add([]byte(`{"name":"s","address":"1.2.3.4:5","slots":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var j Job
		if Decode(bytes.NewReader(b), &j) == nil {
			if v, err := j.Value(); err == nil && (v.Tasks < 1 || v.Expected < 0) {
				t.Errorf("got %+v, want an error", v)
			}
		}
		var h Heartbeat
		if Decode(bytes.NewReader(b), &h) == nil {
			h.Value("w")
		}
		var s BackendServer
		if Decode(bytes.NewReader(b), &s) == nil {
			if v, err := s.Value(); err == nil && (v.Slots < 1 || v.Connections < v.Slots) {
				t.Errorf("got %+v, want an error", v)
			}
		}
		var e Edit
		if Decode(bytes.NewReader(b), &e) == nil {
			ConvertRoutes(e.Routes)
			ConvertPools(e.Pools)
		}
	})
}
