package wire

import (
	"fmt"
	"strings"
	"testing"
	"time"

	notch "tamaracknotch"
)

// documentBytesPerRoute is the length of a route in the text that an operator sends.
const documentBytesPerRoute = 200

// replaceTables returns a command with n routes.
func replaceTables(n int) notch.ReplaceTables {
	c := notch.ReplaceTables{Version: 1, Pools: []notch.Pool{{Name: "sale-svc", Kind: notch.WorkerPool}}}
	for i := range n {
		c.Routes = append(c.Routes, notch.Route{
			Name: fmt.Sprintf("r-%07d", i), Host: "kale33.example", Path: fmt.Sprintf("/wuzi%d/", i), Pool: "sale-svc",
			Timeout: 3 * time.Second, Class: notch.Normal, Attempts: 4, Stretch: 1.5, Target: 300 * time.Millisecond,
		})
	}
	c.Document = strings.Repeat("x", n*documentBytesPerRoute)
	return c
}

// BenchmarkLargeTables measures what a version of large tables costs for each replica that it is
// sent to, and for each grant that holds it.
func BenchmarkLargeTables(b *testing.B) {
	command := replaceTables(1080)
	tables := notch.Tables{}.WithDocument(command).WithoutDocument()
	for name, m := range map[string]notch.Message{
		"entry": notch.AppendRequest{Entries: []notch.LogEntry{{Index: 1, Term: 1, Command: command}}},
		"grant": notch.EntryGrant{Tables: &tables},
	} {
		encoded, err := EncodeMessage(m)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("encode-"+name, func(b *testing.B) {
			for b.Loop() {
				if _, err := EncodeMessage(m); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "bytes")
		})
		b.Run("decode-"+name, func(b *testing.B) {
			for b.Loop() {
				if _, err := DecodeMessage(encoded); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
