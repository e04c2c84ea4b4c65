package telemetry

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/burdockward/burdockward/settings"
	"github.com/shoenig/test/must"
)

func TestJournalKeepsTheNewestLines(t *testing.T) {
	var j Journal
	for i := range maxJournalLines + 5 {
		_, _ = fmt.Fprintln(&j, i)
	}
	lines, dropped := j.Lines()
	must.Len(t, maxJournalLines, lines)
	must.Eq(t, 5, dropped)
	must.Eq(t, "5\n", string(lines[0]))
}

func TestJournalIsBoundedInBytes(t *testing.T) {
	var j Journal
	for range 10 {
		_, _ = j.Write([]byte(strings.Repeat("x", maxJournalBytes/4)))
	}
	lines, dropped := j.Lines()
	must.Len(t, 4, lines)
	must.Eq(t, 6, dropped)
}

// TestJournalHasLinesBelowTheLogLevel requires that the journal has all lines of
// level Info and above, also those that the level of the log leaves out.
func TestJournalHasLinesBelowTheLogLevel(t *testing.T) {
	var out bytes.Buffer
	s := settings.Default()
	s.Log.Level = "error"
	var j Journal
	log := newLogger(s, &out, &j)
	log.Debug("detail")
	log.Info("view", "number", 7)
	must.Eq(t, "", out.String())
	lines, _ := j.Lines()
	must.Len(t, 1, lines)
	must.StrContains(t, string(lines[0]), `"level":"INFO","msg":"view","number":7}`)
	must.True(t, log.Enabled(t.Context(), slog.LevelInfo))
}
