package fake

import (
	"fmt"
	"testing"
)

// playSeeds plays a number of seeds.
func playSeeds(t *testing.T, count int, play func(t *testing.T, seed uint64)) {
	for i := range count {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}
