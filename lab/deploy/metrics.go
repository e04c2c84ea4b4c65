package deploy

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// messagesMetric is a part of the name of each counter of sent messages.
const messagesMetric = "messages_sent"

// Messages counts the messages that daemons sent, by kind.
type Messages map[string]float64

// add adds the counts of other to those of m.
func (m Messages) add(other Messages) {
	for kind, n := range other {
		m[kind] += n
	}
}

// parseMessages reads the counters of sent messages from a scrape in the
// Prometheus text format.
func parseMessages(scrape io.Reader) (Messages, error) {
	messages := Messages{}
	lines := bufio.NewScanner(scrape)
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "#") {
			continue
		}
		name, rest, _ := strings.Cut(line, "{")
		if !strings.Contains(name, messagesMetric) || rest == "" {
			continue
		}
		labels, value, _ := strings.Cut(rest, "}")
		n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil {
			return nil, fmt.Errorf("metric line %q has no number", line)
		}
		messages[label(labels, "kind")] += n
	}
	return messages, lines.Err()
}

// label returns the value of the named label in a metric's label list, or "".
func label(labels, name string) string {
	for l := range strings.SplitSeq(labels, ",") {
		key, value, _ := strings.Cut(l, "=")
		if strings.TrimSpace(key) == name {
			return strings.Trim(value, `"`)
		}
	}
	return ""
}
