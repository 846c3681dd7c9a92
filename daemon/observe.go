package daemon

import (
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	notch "tamaracknotch"
	"tamaracknotch/engine"
)

// newLogger returns a logger with the level and format of the settings.
func newLogger(s Settings, out io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		level = logrus.InfoLevel
	}
	log.SetLevel(level)
	if s.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}

// sink counts and measures in the metrics registry and writes log messages.
type sink struct {
	registry metrics.Registry
	log      *logrus.Logger
	daemon   string
}

// Count implements engine.Sink.
func (s sink) Count(name string, delta int64) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(delta)
}

// countSent counts the bytes of a message to another daemon, in all and by the kind of message.
func (s sink) countSent(m notch.Message, bytes int) {
	s.Count(metricLinkBytes, int64(bytes))
	s.Count(metricLinkBytes+"-"+engine.KindOf(m), int64(bytes))
}

// Value implements engine.Sink.
func (s sink) Value(name string, v int64) {
	s.registry.GetOrRegister(name, newHistogram).(metrics.Histogram).Update(v)
}

// sampleSize is the number of recent values of which a histogram shows the distribution.
const sampleSize = 1028

// sampleAlpha makes a histogram favour the values of the last five minutes.
const sampleAlpha = 0.015

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// Log implements engine.Sink.
func (s sink) Log(m notch.LogMessage) {
	fields := logrus.Fields{"daemon": s.daemon}
	for _, f := range m.Fields {
		fields[f.Name] = f.Value
	}
	s.log.WithFields(fields).Info(m.Text)
}

// systemClock implements notch.Clock. Now counts from the start of the process with
// the monotonic clock, so that a change of the system time can't turn it back.
type systemClock struct{ start time.Time }

func newClock() systemClock { return systemClock{start: time.Now()} }

// Now implements notch.Clock.
func (c systemClock) Now() notch.Time {
	return notch.TimeOf(c.start).Add(time.Since(c.start))
}

// UnixMilli implements notch.Clock.
func (systemClock) UnixMilli() int64 { return time.Now().UnixMilli() }

func (d *Daemon) sink() sink { return sink{registry: d.registry, log: d.log, daemon: d.settings.Name} }
