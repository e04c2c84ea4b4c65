package load

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Run times of tasks. Most tasks take from shortestRun to longestUsual; a
// small share takes seconds.
const (
	shortestRun  = 50 * time.Millisecond
	longestUsual = time.Second
	shortestLong = 2 * time.Second
	longestLong  = 6 * time.Second
	// runSigma is the lognormal sigma of usual run times, and guessSigma that of the callers'
	// estimates: four estimates in ten are off by more than a factor of two.
	runSigma   = 0.7
	guessSigma = 0.8
)

// Class is one kind of job of a service.
type Class struct {
	// Profile names the profile that jobs of the class pick.
	Profile string
	// Weight is the share of the class among the jobs of its mix, relative to
	// the other weights.
	Weight float64
	// MinTasks and MaxTasks bound the number of tasks. The logarithm of the number is uniform, so
	// that small jobs are the most frequent.
	MinTasks, MaxTasks int
	// MedianRun is the median of usual run times.
	MedianRun time.Duration
	// LongShare is the share of tasks that take seconds.
	LongShare float64
	// Idempotent marks jobs that may be submitted again under a new key.
	Idempotent bool
}

// Mix is the load of one deployment.
type Mix struct {
	Name    string
	Classes []Class
}

// Kasa is the load of a petty cash service: small payments and balance checks,
// and some bulk postings.
func Kasa() Mix {
	return Mix{Name: "kasa", Classes: []Class{
		{Profile: "kasa-payment", Weight: 50, MinTasks: 1, MaxTasks: 3, MedianRun: 150 * time.Millisecond, LongShare: 0.002},
		{Profile: "kasa-balance", Weight: 45, MinTasks: 1, MaxTasks: 8, MedianRun: 120 * time.Millisecond, LongShare: 0.002, Idempotent: true},
		{Profile: "kasa-bulk", Weight: 2, MinTasks: 20, MaxTasks: 100, MedianRun: 250 * time.Millisecond, LongShare: 0.01},
	}}
}

// Thapa is the load of a sea ice chart service: lookups of one task, route
// assessments of 10 to 60 and refreshes of up to 170 tiles.
func Thapa() Mix {
	return Mix{Name: "thapa", Classes: []Class{
		{Profile: "thapa-lookup", Weight: 85, MinTasks: 1, MaxTasks: 1, MedianRun: 120 * time.Millisecond, LongShare: 0.002, Idempotent: true},
		{Profile: "thapa-route", Weight: 12, MinTasks: 10, MaxTasks: 60, MedianRun: 250 * time.Millisecond, LongShare: 0.01, Idempotent: true},
		{Profile: "thapa-tiles", Weight: 3, MinTasks: 40, MaxTasks: 170, MedianRun: 200 * time.Millisecond, LongShare: 0.01},
	}}
}

// Both is the load of both deployments together.
func Both() Mix {
	return Mix{Name: "both", Classes: append(Kasa().Classes, Thapa().Classes...)}
}

// MixByName returns the mix kasa, thapa or both.
func MixByName(name string) (Mix, error) {
	for _, m := range []Mix{Kasa(), Thapa(), Both()} {
		if m.Name == name {
			return m, nil
		}
	}
	return Mix{}, fmt.Errorf("unknown mix %q: take kasa, thapa or both", name)
}

func (m *Mix) check() error {
	if len(m.Classes) == 0 {
		return errors.New("a mix needs at least one class")
	}
	for _, c := range m.Classes {
		if c.Weight <= 0 || c.MinTasks < 1 || c.MaxTasks < c.MinTasks {
			return fmt.Errorf("class %s needs a weight above 0 and 1 <= MinTasks <= MaxTasks", c.Profile)
		}
	}
	return nil
}

// pickClass draws a class in proportion to the weights.
func (m *Mix) pickClass(rng *rand.Rand) *Class {
	var total float64
	for _, c := range m.Classes {
		total += c.Weight
	}
	at := rng.Float64() * total
	for i := range m.Classes {
		at -= m.Classes[i].Weight
		if at < 0 {
			return &m.Classes[i]
		}
	}
	return &m.Classes[len(m.Classes)-1]
}

// drawTaskCount draws the number of tasks of a job.
func (c *Class) drawTaskCount(rng *rand.Rand) int {
	low, high := math.Log(float64(c.MinTasks)), math.Log(float64(c.MaxTasks+1))
	n := int(math.Exp(low + rng.Float64()*(high-low)))
	return min(max(n, c.MinTasks), c.MaxTasks)
}

// drawTask draws the run time of a task and the caller's estimate of it.
func (c *Class) drawTask(rng *rand.Rand) Task {
	run := c.drawRunTime(rng).Round(time.Millisecond)
	guess := lognormal(rng, float64(run), guessSigma)
	expected := time.Duration(guess).Round(time.Millisecond)
	return Task{Run: run, Expected: max(expected, time.Millisecond)}
}

// drawRunTime draws a run time: seconds for LongShare of the tasks, else around MedianRun.
func (c *Class) drawRunTime(rng *rand.Rand) time.Duration {
	if rng.Float64() < c.LongShare {
		return shortestLong + time.Duration(rng.Float64()*float64(longestLong-shortestLong))
	}
	run := time.Duration(lognormal(rng, float64(c.MedianRun), runSigma))
	return min(max(run, shortestRun), longestUsual)
}
