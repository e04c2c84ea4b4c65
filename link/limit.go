package link

import (
	"bytes"
	"errors"
	"io"
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
	// decodingFactor is how many times its size a request takes once it is decoded.
	decodingFactor = 8
	// fullRetryAfter is when a job that an owner had no memory to read may be sent again.
	fullRetryAfter = time.Second
)

// withLimits reads the request of each call within the limits of its connection before it is decoded.
func withLimits(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, control := intake.ConnOf(r.Context()), http.NewResponseController(w)
		// The errors are ignored: a writer without deadlines is not a connection.
		_ = control.SetReadDeadline(time.Now().Add(callReadTimeout))
		body, held, err := conn.ReadRequest(r, maxCallBytes)
		if err == nil {
			err = conn.ReserveDecoding(decodingFactor * int64(len(body)))
		}
		if err != nil {
			conn.Account().Release(held)
			w.Header().Set("Connection", "close")
			_ = twirp.WriteError(w, refusedCall(err))
			return
		}
		_ = control.SetReadDeadline(time.Time{})
		held += decodingFactor * int64(len(body))
		defer conn.Account().Release(held)
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// refusedCall is the answer to a call that was not read. Nothing of it was handed on.
func refusedCall(err error) twirp.Error {
	if errors.Is(err, intake.ErrFull) {
		return twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	return twirp.NewError(twirp.Malformed, "the request was not read whole: "+err.Error())
}

// fullOutcome is the outcome of a job that its owner did not read for lack of memory.
var fullOutcome = work.Outcome{Result: work.Refused, Reason: "the owner has no memory for the request", RetryAfter: fullRetryAfter}

// isFull reports whether a call was refused because the other VM had no memory to read it.
func isFull(err error) bool {
	failed, ok := errors.AsType[twirp.Error](err)
	return ok && failed.Code() == twirp.ResourceExhausted
}
