package intake

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
)

const (
	// restTimeout bounds the wait for the rest of a body after the answer. Closing the connection before it has arrived
	// could lose the answer.
	restTimeout = time.Second
	// maxRestBytes bounds what is read of such a rest.
	maxRestBytes = 16 << 20
)

// LeaveBody prepares an answer that doesn't wait for the request's body: the connection is closed after it. The
// returned function is to be called after the answer was written. It sends the answer and then reads the rest of the
// body, without keeping it, for at most restTimeout. Neither has an effect on requests without a body.
func LeaveBody(w http.ResponseWriter, r *http.Request) (discard func()) {
	if r.ContentLength == 0 {
		return func() {}
	}
	w.Header().Set("Connection", "close")
	ConnOf(r.Context()).SetWaiting()
	return func() {
		control := http.NewResponseController(w)
		// The errors are ignored: a writer without deadlines is not a connection, and a client that is gone needs
		// no answer.
		_ = control.Flush()
		_ = control.SetReadDeadline(time.Now().Add(restTimeout))
		_, _ = io.CopyN(io.Discard, r.Body, maxRestBytes)
	}
}

// CallLimits bounds the calls of an RPC server.
type CallLimits struct {
	// MaxBytes bounds the request of a call, ReadTimeout the time in which it is read.
	MaxBytes    int64
	ReadTimeout time.Duration
	// DecodingBytes returns a bound on the memory that decoding a request takes.
	DecodingBytes func(request []byte) int64
}

// protobufType is the only content type that is taken: what decoding JSON takes is not bounded by DecodingBytes.
const protobufType = "application/protobuf"

// LimitCalls returns a handler that reads the request of each call within the limits of its connection before the
// RPC server decodes it. A call beyond the budget is answered as resource_exhausted; nothing of it is handed on.
func LimitCalls(next http.Handler, limits CallLimits) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		if r.Header.Get("Content-Type") != protobufType {
			defer LeaveBody(w, r)()
			_ = twirp.WriteError(w, twirp.NewError(twirp.Malformed, "the content type must be "+protobufType))
			return
		}
		conn, control := ConnOf(r.Context()), http.NewResponseController(w)
		// The errors are ignored: a writer without deadlines is not a connection.
		_ = control.SetReadDeadline(time.Now().Add(limits.ReadTimeout))
		body, held, err := conn.ReadRequest(r, limits.MaxBytes)
		if err != nil {
			defer LeaveBody(w, r)()
			_ = twirp.WriteError(w, refusedCall(err))
			return
		}
		decoding := limits.DecodingBytes(body)
		if err := conn.ReserveDecoding(decoding); err != nil {
			conn.Account().Release(held)
			_ = twirp.WriteError(w, refusedCall(err))
			return
		}
		_ = control.SetReadDeadline(time.Time{})
		defer conn.Account().Release(held + decoding)
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// refusedCall is the answer to a call that was not read.
func refusedCall(err error) twirp.Error {
	if errors.Is(err, ErrFull) {
		return twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	return twirp.NewError(twirp.Malformed, "the request was not read whole: "+err.Error())
}
