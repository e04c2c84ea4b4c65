package link

import (
	"errors"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/burdockward/burdockward/intake"
	"github.com/burdockward/burdockward/work"
)

const (
	// maxCallBytes bounds the request of a call; the largest is a job with the names of all its tasks.
	maxCallBytes = 1 << 20
	// callReadTimeout bounds the reading of a request.
	callReadTimeout = 3 * time.Second
	// decodingFactor is how many times its size the texts and numbers of a request take once they are decoded and
	// converted.
	decodingFactor = 4
	// jobField is the number of the field of a RunRequest that has the job.
	jobField = 4
	// fullRetryAfter is when a job that an owner had no memory to read may be sent again.
	fullRetryAfter = time.Second
)

// withLimits reads the request of each call within the limits of its connection before it is decoded.
func withLimits(next http.Handler) http.Handler {
	return intake.LimitCalls(next, intake.CallLimits{MaxBytes: maxCallBytes, ReadTimeout: callReadTimeout, DecodingBytes: decodingBytes})
}

// decodingBytes returns a bound on the memory that decoding a request takes.
func decodingBytes(request []byte) int64 {
	return decodingFactor*int64(len(request)) + intake.FieldBytes*int64(intake.CountFields(request, jobField))
}

// fullOutcome is the outcome of a job that its owner did not read for lack of memory.
var fullOutcome = work.Outcome{Result: work.Refused, Reason: "the owner has no memory for the request", RetryAfter: fullRetryAfter}

// isFull reports whether a call was refused because the other VM had no memory to read it.
func isFull(err error) bool {
	failed, ok := errors.AsType[twirp.Error](err)
	return ok && failed.Code() == twirp.ResourceExhausted
}
