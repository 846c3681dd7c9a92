package press

import notch "tamaracknotch"

// None is the baseline: it assumes that opportunistic tasks take no headroom.
type None struct{}

// WithLook implements [notch.Interplay].
func (None) WithLook(notch.Look) notch.Interplay { return None{} }

// WithoutGroup implements [notch.Interplay].
func (None) WithoutGroup(notch.TaskRef) notch.Interplay { return None{} }

// Alone implements [notch.Interplay].
func (None) Alone(notch.TaskRef, notch.Time) float64 { return priorHeadroom }

// Weight implements [notch.Interplay].
func (None) Weight(string, string) float64 { return 0 }
