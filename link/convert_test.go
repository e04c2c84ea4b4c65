package link

import (
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/scheduler"
	"github.com/burdockward/burdockward/work"
)

// fill sets each field of a value to a non-zero value, so that a field that a conversion leaves out
// is noticed.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.String:
		v.SetString("x")
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(3 * time.Millisecond))
		if v.Type() != reflect.TypeFor[time.Duration]() {
			v.SetInt(3)
		}
	default:
		panic("no value for a " + v.Kind().String())
	}
}

// filled returns a value with each field set.
func filled[T any]() T {
	var value T
	fill(reflect.ValueOf(&value).Elem())
	return value
}

// No field of a job that decides how it runs is lost on the wire.
func TestJobRoundTrip(t *testing.T) {
	job := filled[work.Job]()
	must.Eq(t, job, jobFromWire(jobToWire(job)))
}

// A field that is lost in a handover could let a task run twice.
func TestHandoverRoundTrip(t *testing.T) {
	h := scheduler.Handover{
		From: "vm/1", Ago: 3 * time.Millisecond, LastRun: 3, Keepalives: map[string]time.Duration{"e": 3 * time.Millisecond},
		Targets: []scheduler.HandedTarget{filled[scheduler.HandedTarget]()},
		Jobs: []scheduler.HandedJob{{
			Submission: scheduler.Submission{
				Handed: true, Job: filled[work.Job](), Queue: filled[work.Queue](), Part: []string{"a", "b", "c"},
				Age: 3 * time.Millisecond, Wait: 3 * time.Millisecond, Vouchers: []string{"e"},
			},
			Ended: true, EndedAgo: 3 * time.Millisecond, Fails: map[int]int{1: 2}, Saved: map[int]string{1: "x"},
			Runs: []scheduler.HandedRun{filled[scheduler.HandedRun]()},
		}},
	}
	must.Eq(t, &h, handoverFromWire(handoverToWire(&h)))
	must.Nil(t, handoverFromWire(handoverToWire(nil)))
	h.Jobs[0].Submission.Part = []string{"a"}
	must.SliceEmpty(t, handoverFromWire(handoverToWire(&h)).Jobs)
}

func TestTargetRoundTrip(t *testing.T) {
	target := filled[work.Target]()
	must.Eq(t, target, targetFromWire(targetToWire(target)))
}

func TestQueueRoundTrip(t *testing.T) {
	queue := filled[work.Queue]()
	must.Eq(t, queue, queueFromWire(queueToWire(queue)))
}

// A VM of an older build sends no forecast wait; its retry delay is one.
func TestOutcomeRoundTrip(t *testing.T) {
	for _, outcome := range []work.Outcome{
		{Result: work.Refused, Reason: "full", RetryAfter: 3 * time.Second, ForecastWait: 70 * time.Millisecond},
		{Result: work.Refused, Reason: "full", RetryAfter: 70 * time.Millisecond},
	} {
		must.Eq(t, outcome, outcomeFromWire(outcomeToWire(outcome)))
	}
}
