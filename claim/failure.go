package claim

import "github.com/burdockward/burdockward/api"

// Times after which a caller may retry, in milliseconds.
const (
	retrySoonMS  = 200
	retryLaterMS = 1000
)

// newFailure returns the failure of a call for a key. Whether the key ran earlier is
// not known.
func newFailure(kind api.Kind, retryAfterMS int64, message string) *api.Failure {
	return &api.Failure{Kind: kind, Run: api.OutcomeUnknown, RetryAfterMS: retryAfterMS, Message: message}
}

func failInvalid() *api.Failure {
	return newFailure(api.KindInvalidKey, 0, "the epoch of the key has no valid form: take it from the "+api.HeaderEpoch+" header of any response")
}

func failExpired() *api.Failure {
	return newFailure(api.KindKeyExpired, 0, "the epoch of the key is too old or not known here: look the work up in your own records, and submit new work under a key with the epoch of this response")
}

func failClosed() *api.Failure {
	return newFailure(api.KindKeyExpired, 0, "VMs that may have known the key were lost: look the work up in your own records, and submit new work under a key with the epoch of this response")
}

func failVoid() *api.Failure {
	return newFailure(api.KindKeyExpired, 0, "the key was claimed while VMs were lost and its grant can't be confirmed: look the work up in your own records, and submit new work under a key with the epoch of this response")
}

func failBlocked() *api.Failure {
	return newFailure(api.KindUnavailable, retrySoonMS, "this VM joined after the epoch of the key began: submit the same key at another VM")
}

func failFull() *api.Failure {
	return newFailure(api.KindUnavailable, retryLaterMS, "the failure domain keeps as many keys as it can: submit the same key again later")
}

func failTimeout() *api.Failure {
	return newFailure(api.KindUnavailable, retryLaterMS, "the VM that decides on the key did not answer in time: submit the same key again")
}

func failStopped() *api.Failure {
	return newFailure(api.KindUnavailable, retrySoonMS, "this VM is stopping: submit the same key at another VM")
}

func failBusy() *api.Failure {
	return newFailure(api.KindUnavailable, retrySoonMS, "this VM has too many claims waiting: submit the same key again")
}

func failContext() *api.Failure {
	return newFailure(api.KindUnavailable, retryLaterMS, "the request ended before the claim of its key: submit the same key again")
}
