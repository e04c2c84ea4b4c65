package configuration

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

func TestSleepEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		must.NoError(t, Sleep(t.Context(), time.Minute))
		must.Eq(t, time.Minute, time.Since(began), must.Sprint("by the fake clock of synctest"))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began = time.Now()
		must.ErrorIs(t, Sleep(ctx, time.Minute), context.DeadlineExceeded)
		must.Eq(t, time.Second, time.Since(began))
	})
}
