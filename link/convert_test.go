package link

import (
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"

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
