package dispatch

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/burdockward/burdockward/admission"
	"github.com/shoenig/test/must"
)

// Targets with the same change are logged in one line, and only once.
func TestVerdictsAreLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	shared := newAlone("t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8")
	d := New(Options{
		Placer:    shared,
		Limits:    shared,
		Admission: admission.New(admission.Config{Domain: "d", Domains: []string{"d"}}),
		Log:       slog.New(slog.NewTextHandler(&log, nil)),
	})
	d.logVerdicts()
	must.Eq(t, "", log.String())
	shared.fail(time.Second, "t2", "t5")
	d.logVerdicts()
	d.logVerdicts()
	must.Eq(t, 1, strings.Count(log.String(), "\n"))
	must.StrContains(t, log.String(), `use=quarantine before=normal cause=unreachable count=2 targets="[t2 t5]"`)
}
