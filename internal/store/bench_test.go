package store

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// BenchmarkCommit measures commits that wait for the disk, by one caller and by many.
func BenchmarkCommit(b *testing.B) {
	for _, kind := range testKinds {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("%s/callers=%d", [...]string{"at-once", "grouped", "best-effort"}[kind.Sync], callers), func(b *testing.B) {
				s := openStore(b, Dir(b.TempDir()))
				body := strings.Repeat("x", 300)
				b.SetParallelism(callers)
				if callers == 1 {
					for i := range b.N {
						if err := s.Commit(context.Background(), putChange(kind.Name, fmt.Sprint(i%1000), body)); err != nil {
							b.Fatal(err)
						}
					}
				} else {
					b.RunParallel(func(p *testing.PB) {
						for i := 0; p.Next(); i++ {
							if err := s.Commit(context.Background(), putChange(kind.Name, fmt.Sprint(i%1000), body)); err != nil {
								b.Error(err)
								return
							}
						}
					})
				}
				b.StopTimer()
				stats := s.Stats()
				b.ReportMetric(float64(stats.Syncs)/float64(b.N), "syncs/op")
				_ = s.Close()
			})
		}
	}
}

// BenchmarkOpen measures loading a store by its number of records.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{100, 10_000, 100_000} {
		dir := Dir(b.TempDir())
		s := openStore(b, dir)
		for i := range n {
			for s.enqueue(&commit{changes: []Change{putChange("state", fmt.Sprint(i), strings.Repeat("x", 300))}}) != nil {
				time.Sleep(time.Millisecond)
			}
		}
		_ = s.Close()
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			for range b.N {
				index, err := load(dir, testKinds, false)
				if err != nil || index.report.Records != n {
					b.Fatal(err, index.report)
				}
				b.ReportMetric(float64(index.totalBytes)/float64(n), "bytes/record")
				index.close()
			}
		})
	}
}

// BenchmarkMerge measures the latency of commits of 3 KB with and without merges between them.
func BenchmarkMerge(b *testing.B) {
	for _, merges := range []bool{false, true} {
		b.Run(fmt.Sprintf("merges=%v", merges), func(b *testing.B) {
			s := openStore(b, Dir(b.TempDir()))
			defer func() { _ = s.Close() }()
			body := strings.Repeat("x", 3000)
			var waits []time.Duration
			for i := range b.N {
				key := i
				if merges {
					key %= 50
				}
				began := time.Now()
				must(b, s.Commit(context.Background(), putChange("order", fmt.Sprint(key), body)))
				waits = append(waits, time.Since(began))
			}
			slices.Sort(waits)
			stats := s.Stats()
			b.ReportMetric(float64(waits[len(waits)*99/100].Microseconds()), "us-p99")
			b.ReportMetric(float64(waits[len(waits)-1].Microseconds()), "us-longest")
			b.ReportMetric(float64(stats.Merges), "merges")
		})
	}
}
