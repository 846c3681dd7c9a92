package fake

import (
	"testing"
)

// lessProcessor is a load, and what its classes must still earn while the leader has less of a core.
type lessProcessor struct {
	Load       string
	Cores      float64
	Seeds      uint64
	LeastWorth float64 `yaml:"least-worth"` // with all of Cores
	Less       []struct {
		Cores float64
		Worth float64 // share of what is earned with all of Cores
	}
}

// TestWorthFallsNoFasterThanProcessor guards against a leader of many agents that spends its core on asking them, whether anything starts
// or not: with a little less processor it made half of the starts (SHORT).
func TestWorthFallsNoFasterThanProcessor(t *testing.T) {
	var table lessProcessor
	readYAML(t, "testdata/starts-many-agents.yaml", &table)
	load := readAgentLoad(t, table.Load)
	plays := []float64{table.Cores}
	for _, l := range table.Less {
		plays = append(plays, l.Cores)
	}
	earned := make([][]float64, len(plays))
	t.Run("plays", func(t *testing.T) {
		for i, cores := range plays {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				earned[i] = meanWorthShares(t, load, cores, table.Seeds)
			})
		}
	})
	for class, r := range load.Routes {
		all := earned[0][class]
		t.Logf("%s: %.3f with %.3f of a core", r.Name, all, table.Cores)
		if all < table.LeastWorth {
			t.Errorf("share of the worth of %s with %.3f of a core: got %.3f, want at least %.3f", r.Name, table.Cores, all, table.LeastWorth)
		}
		for i, l := range table.Less {
			got, want := earned[i+1][class], l.Worth*all
			t.Logf("%s: %.3f with %.3f of a core, wanted %.3f", r.Name, got, l.Cores, want)
			if got < want {
				t.Errorf("share of the worth of %s with %.3f of a core: got %.3f, want at least %.3f", r.Name, l.Cores, got, want)
			}
		}
	}
}

// meanWorthShares plays a load with several seeds and returns what its classes earn of their worth, by route.
func meanWorthShares(t *testing.T, load agentLoad, cores float64, seeds uint64) []float64 {
	load.Cores = cores
	earned := make([]float64, len(load.Routes))
	for seed := *firstSeed; seed < *firstSeed+seeds; seed++ {
		l := newLoadTest(t, load, seed)
		l.start()
		l.runFor(load.Length + load.Bounds.Finish)
		for i, r := range load.Routes {
			earned[i] += worthShare(l.workflowsOf(r.Name)) / float64(seeds)
		}
	}
	return earned
}
