package submission

import (
	"net/http"

	"github.com/burdockward/burdockward/api"
)

const statusOK = http.StatusOK

// statuses maps kinds of failure to HTTP statuses.
var statuses = map[api.Kind]int{
	api.KindMalformed:        http.StatusBadRequest,
	api.KindInvalidKey:       http.StatusBadRequest,
	api.KindTooLarge:         http.StatusRequestEntityTooLarge,
	api.KindKeyExpired:       http.StatusGone,
	api.KindAnswerExpired:    http.StatusGone,
	api.KindKeyConflict:      http.StatusConflict,
	api.KindCancelled:        http.StatusConflict,
	api.KindWrongDomain:      http.StatusMisdirectedRequest,
	api.KindNotFound:         http.StatusNotFound,
	api.KindUnknownProfile:   http.StatusUnprocessableEntity,
	api.KindNeverRunnable:    http.StatusUnprocessableEntity,
	api.KindDeadlineTooShort: http.StatusUnprocessableEntity,
	api.KindOverloaded:       http.StatusTooManyRequests,
	api.KindDraining:         http.StatusServiceUnavailable,
	api.KindUnavailable:      http.StatusServiceUnavailable,
	api.KindDeadlineExceeded: http.StatusGatewayTimeout,
	api.KindTaskFailed:       http.StatusBadGateway,
	api.KindTargetLost:       http.StatusBadGateway,
	api.KindRunnerLost:       http.StatusBadGateway,
	api.KindInternal:         http.StatusInternalServerError,
}

// StatusOf returns the HTTP status of a kind of failure.
func StatusOf(kind api.Kind) int {
	if status, ok := statuses[kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}
