package assign

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	notch "tamaracknotch"
	"tamaracknotch/colocation"
)

// TestScoresDifferential guards against placements by outdated scores: it places the tasks of a stage
// one after the other and compares each choice with one from scores that are computed anew.
func TestScoresDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		images := rapid.SampledFrom([]string{"a", "b"})
		free := rapid.Int64Range(0, 16)
		var as agents
		for range rapid.IntRange(1, 8).Draw(t, "agents") {
			var services []string
			if rapid.Bool().Draw(t, "service") {
				services = append(services, images.Draw(t, "service image"))
			}
			as = append(as, agent(4000*free.Draw(t, "free"), services, nil))
		}
		st := notch.Stage{
			Size:  notch.Resources{MilliCPU: 4000 * rapid.Int64Range(0, 3).Draw(t, "size"), MemoryMB: 5},
			Image: images.Draw(t, "image"), Fills: rapid.Bool().Draw(t, "opportunistic"), Lasts: rapid.Bool().Draw(t, "long-running"),
		}
		if rapid.Bool().Draw(t, "is service") {
			st.Target = time.Second
		}
		placer := ByScore{ColocationModel: colocation.New()}
		scores := placer.Score(st, as)
		for seed := range uint64(20) {
			waited := time.Duration(rapid.IntRange(0, 1).Draw(t, "waited")) * maxWaitForReserve
			anew := placer.Score(st, as)
			got, want := scores.Next(waited, seed), anew.Next(waited, seed)
			if got != want {
				t.Fatalf("task %d: got agent %d, want %d", seed, got, want)
			}
			if got, want := scores.HasCapacity(), anew.HasCapacity(); got != want {
				t.Fatalf("task %d: got capacity %v, want %v", seed, got, want)
			}
			if got >= 0 {
				as[got] = withTask(as[got], st, placer.ColocationModel)
				scores.Rescore(got)
			}
		}
	})
}

// withTask returns a view with one more task.
func withTask(v notch.AgentView, st notch.Stage, model notch.ColocationModel) notch.AgentView {
	v.Free = v.Free.Minus(st.Reserved())
	if st.Fills {
		v.OpportunisticMilliCPU += st.Size.MilliCPU
		v.ServiceImages = slices.Clone(v.ServiceImages)
		for i, o := range v.ServiceImages {
			share := float64(st.Size.MilliCPU) / float64(v.Agent.Size.MilliCPU)
			v.ServiceImages[i].TakenHeadroom += model.InterferenceCoefficient(o.Image, st.Image) * share
		}
	}
	return v
}
