package colocation

import notch "tamaracknotch"

// None is the baseline: it assumes that opportunistic tasks take no headroom.
type None struct{}

// WithObservation implements [notch.ColocationModel].
func (None) WithObservation(notch.ColocationObservation) notch.ColocationModel { return None{} }

// WithoutGroup implements [notch.ColocationModel].
func (None) WithoutGroup(notch.TaskRef) notch.ColocationModel { return None{} }

// HeadroomAlone implements [notch.ColocationModel].
func (None) HeadroomAlone(notch.TaskRef, notch.Time) float64 { return priorHeadroom }

// InterferenceCoefficient implements [notch.ColocationModel].
func (None) InterferenceCoefficient(string, string) float64 { return 0 }
