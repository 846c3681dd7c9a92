package colocation

import (
	"slices"
	"strings"
)

// coefficient is the estimated interference coefficient of a pair of images: the headroom
// that an opportunistic image takes from a service image when it uses all processors of
// the agent.
type coefficient struct{ mean, variance float64 }

// updated returns the coefficient after a measurement of a service task that was colocated with
// a load. Share is the share of the processors that the load used. The innovation is the difference between the measured and the predicted
// headroom.
func (c coefficient) updated(share, innovation, innovationVariance float64) coefficient {
	gain := c.variance * share / innovationVariance
	c.mean = max(0, c.mean-gain*innovation)
	c.variance = max(minCoefficientStdDev*minCoefficientStdDev, c.variance-gain*share*c.variance)
	return c
}

// serviceCoefficients holds the coefficients of one service image, sorted by the names of
// the opportunistic images that were colocated with it.
type serviceCoefficients []imageCoefficient

type imageCoefficient struct {
	opportunistic string // image
	coefficient
}

func (s serviceCoefficients) find(opportunistic string) (int, bool) {
	return slices.BinarySearchFunc(s, opportunistic, func(c imageCoefficient, name string) int {
		return strings.Compare(c.opportunistic, name)
	})
}

// coefficient returns the coefficient of an opportunistic image, or the prior one if the
// image has not been measured.
func (s serviceCoefficients) coefficient(opportunistic string) coefficient {
	if i, ok := s.find(opportunistic); ok {
		return s[i].coefficient
	}
	return coefficient{priorCoefficient, priorCoefficientStdDev * priorCoefficientStdDev}
}

// set replaces a coefficient in place. The caller must hold the only reference to s.
func (s serviceCoefficients) set(opportunistic string, c coefficient) serviceCoefficients {
	i, ok := s.find(opportunistic)
	if !ok {
		return slices.Insert(s, i, imageCoefficient{opportunistic, c})
	}
	s[i].coefficient = c
	return s
}
