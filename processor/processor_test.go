package processor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const us = time.Microsecond

func TestSpeed(t *testing.T) {
	for name, test := range map[string]struct {
		samples []time.Duration
		want    float64
	}{
		"too few samples":               {[]time.Duration{50 * us, 50 * us, 500 * us}, 1},
		"steady":                        {[]time.Duration{50 * us, 50 * us, 50 * us, 50 * us, 50 * us, 50 * us}, 1},
		"interrupted samples":           {[]time.Duration{50 * us, 50 * us, 900 * us, 400 * us, 50 * us, 700 * us, 800 * us}, 1},
		"slowed down":                   {[]time.Duration{50 * us, 50 * us, 200 * us, 250 * us, 210 * us, 900 * us, 200 * us}, 0.25},
		"a little slower":               {[]time.Duration{50 * us, 50 * us, 60 * us, 65 * us, 60 * us, 70 * us, 60 * us}, 1},
		"fast again":                    {[]time.Duration{50 * us, 50 * us, 200 * us, 200 * us, 200 * us, 200 * us, 200 * us, 50 * us}, 1},
		"slowed down from the start":    {[]time.Duration{200 * us, 200 * us, 200 * us, 200 * us, 200 * us}, 1},
		"faster than at the start":      {[]time.Duration{200 * us, 50 * us, 50 * us, 50 * us, 50 * us, 50 * us}, 1},
		"one error of the clock":        {[]time.Duration{50 * us, us, 50 * us, 50 * us, 50 * us, 50 * us, 50 * us}, 1},
		"a clock that doesn't advance":  {[]time.Duration{0, 0, 0, 0, 0, 0, 0}, 1},
		"one sample of a fast interval": {[]time.Duration{50 * us, 50 * us, 200 * us, 200 * us, 50 * us, 200 * us, 200 * us}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var s Speed
			for _, took := range test.samples {
				s.Add(took)
			}
			must.Eq(t, test.want, s.Fraction())
		})
	}
}

// A meter returns the declared share until it has measured less, and ends with its context.
func TestMeterStartsAtTheDeclaredShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMeter(0.192)
		must.Eq(t, 192, m.PerMille())
		must.Eq(t, 0.192, m.Share())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		// The clock of the synctest bubble doesn't advance during a sample.
		m.Run(ctx)
		must.Eq(t, 192, m.PerMille())
		m.setSpeed(0.25)
		must.Eq(t, 48, m.PerMille())
	})
}

// The average follows what the process uses, and doesn't change while the clock doesn't advance.
func TestUsageFollowsTheProcess(t *testing.T) {
	var u Usage
	now, spent := time.Second, time.Minute
	add := func(elapsed time.Duration, cores float64) {
		now += elapsed
		spent += time.Duration(cores * float64(elapsed))
		u.Add(now, spent)
	}
	add(0, 0)
	must.Zero(t, u.Cores())
	for range 30 {
		add(100*time.Millisecond, 0.5)
	}
	must.Between(t, 0.49, u.Cores(), 0.51)
	before := u.Cores()
	add(0, 1)
	must.Eq(t, before, u.Cores())
	add(100*time.Millisecond, 1)
	must.Between(t, before, u.Cores(), 0.61)
}

// A VM that is slowed down to a fifth and uses all of its declared share uses all that it has.
func TestUsedFollowsTheSpeed(t *testing.T) {
	m := NewMeter(0.8)
	m.used.Store(800)
	must.Between(t, 0.799, m.Used(), 0.801)
	m.setSpeed(0.2)
	must.Between(t, 0.159, m.Used(), 0.161)
	must.Zero(t, NewMeter(0).Used())
}
