// Package tableservice is the client of the platform's table service and VM list.
// docs/PLATFORM.md describes the messages.
package tableservice

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/burdockward/burdockward/sendonce"
)

// Defaults of Options.
const (
	DefaultReadTimeout   = 2 * time.Second
	DefaultCommitTimeout = 5 * time.Second
)

// Errors to compare with errors.Is. A commit may also fail with *ConflictError.
const (
	// ErrUnavailable means that the service was not reached or refused the call. Nothing
	// was applied, and the call may be repeated later.
	ErrUnavailable = errs.Tag("platform unavailable, try again later")
	// ErrUnknownOutcome means that a commit was sent and its answer lost. The commit may
	// have taken effect or may do so later. Read the rows before writing them again.
	ErrUnknownOutcome = errs.Tag("commit may have taken effect, read its rows first")
	// ErrInvalid means that the service refused the request as malformed. Nothing was
	// applied, and the same request will fail again.
	ErrInvalid = errs.Tag("platform refused the request as malformed, check versions")
)

// Tables is the table service.
type Tables interface {
	// Changes returns the rows of a table that were written after a commit. Since 0
	// gives all rows.
	Changes(ctx context.Context, table string, since uint64) (Changes, error)
	// Commit applies all writes or none and returns the number of the commit. The
	// error is ErrUnavailable, ErrInvalid, *ConflictError (none was applied) or
	// ErrUnknownOutcome.
	Commit(ctx context.Context, commit Commit) (version uint64, err error)
}

// VMList is the list of VMs. It lags behind the state of the VMs.
type VMList interface {
	// VMs returns the VMs of a failure domain. A list whose version is not above since
	// contains no VMs, because the caller has it already.
	VMs(ctx context.Context, domain string, since uint64) (List, error)
}

// Options are the settings of a Client; zero values stand for the defaults.
type Options struct {
	// URL is the base of all calls, such as "http://192.0.2.1:7000".
	URL string
	// ReadTimeout bounds a read, CommitTimeout a commit.
	ReadTimeout, CommitTimeout time.Duration
	// HTTP are the settings of the connections.
	HTTP sendonce.Options
}

// Client implements Tables and VMList over HTTP. It is safe for concurrent use
// and sends each commit at most once.
type Client struct {
	options Options
	once    *sendonce.Client
}

var (
	_ Tables = (*Client)(nil)
	_ VMList = (*Client)(nil)
)

// New returns a client.
func New(options Options) (*Client, error) {
	base, err := url.Parse(options.URL)
	if err != nil || base.Scheme != "http" || base.Host == "" {
		return nil, fmt.Errorf("platform URL %q must have the form http://IP:port", options.URL)
	}
	options.URL = strings.TrimRight(options.URL, "/")
	if options.ReadTimeout == 0 {
		options.ReadTimeout = DefaultReadTimeout
	}
	if options.CommitTimeout == 0 {
		options.CommitTimeout = DefaultCommitTimeout
	}
	options.HTTP.OneHost = true
	return &Client{options: options, once: sendonce.New(options.HTTP)}, nil
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.once.Close() }

// Changes implements Tables.
func (c *Client) Changes(ctx context.Context, table string, since uint64) (Changes, error) {
	query := url.Values{"since": {strconv.FormatUint(since, 10)}}
	var changes Changes
	err := c.read(ctx, "/v1/tables/"+url.PathEscape(table), query, &changes)
	if err != nil {
		return Changes{}, err
	}
	changes.normalise()
	return changes, nil
}

// VMs implements VMList.
func (c *Client) VMs(ctx context.Context, domain string, since uint64) (List, error) {
	return c.vms(ctx, url.Values{"domain": {domain}, "since": {strconv.FormatUint(since, 10)}})
}

// EntryVMs returns the list of a failure domain as VMs does. The platform may leave out
// targets; the caller must ignore those that it does not leave out.
func (c *Client) EntryVMs(ctx context.Context, domain string, since uint64) (List, error) {
	query := url.Values{"domain": {domain}, "since": {strconv.FormatUint(since, 10)}, "kind": {string(KindEntry)}}
	return c.vms(ctx, query)
}

func (c *Client) vms(ctx context.Context, query url.Values) (List, error) {
	var list List
	if err := c.read(ctx, "/v1/vms", query, &list); err != nil {
		return List{}, err
	}
	return list, nil
}

func (c *Client) read(ctx context.Context, path string, query url.Values, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.ReadTimeout)
	defer cancel()
	answer, err := c.once.Get(ctx, c.options.URL+path+"?"+query.Encode())
	if err != nil {
		return ErrUnavailable.Wrap(err)
	}
	switch answer.Status {
	case http.StatusOK:
	case http.StatusBadRequest:
		return ErrInvalid.Errorf("read of %s: %s", path, excerpt(answer.Body))
	default:
		return ErrUnavailable.Errorf("read of %s: status %d: %s", path, answer.Status, excerpt(answer.Body))
	}
	if err := json.Unmarshal(answer.Body, into); err != nil {
		return ErrUnavailable.Errorf("read of %s: malformed answer: %w", path, err)
	}
	return nil
}

// Commit implements Tables.
func (c *Client) Commit(ctx context.Context, commit Commit) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CommitTimeout)
	defer cancel()
	body, err := json.Marshal(commit)
	if err != nil {
		return 0, ErrInvalid.Wrap(err)
	}
	answer, err := c.once.Post(ctx, c.options.URL+"/v1/commit", body)
	if err != nil {
		return 0, commitError(err)
	}
	return readCommit(answer)
}

func commitError(err error) error {
	var unsent *sendonce.UnsentError
	if errors.As(err, &unsent) {
		return ErrUnavailable.Wrap(err)
	}
	return ErrUnknownOutcome.Wrap(err)
}

// readCommit returns the result of a commit. It accepts a refusal only if the body
// contains it: a status alone may come from a proxy after the commit was applied.
func readCommit(answer *sendonce.Answer) (uint64, error) {
	var body commitAnswer
	if err := json.Unmarshal(answer.Body, &body); err != nil {
		return 0, ErrUnknownOutcome.Errorf("status %d with malformed answer: %w", answer.Status, err)
	}
	switch {
	case answer.Status == http.StatusOK && body.Version > 0:
		return body.Version, nil
	case answer.Status == http.StatusConflict && body.Conflict != nil:
		return 0, &ConflictError{Expectation: *body.Conflict}
	case answer.Status == http.StatusBadRequest && body.Refused != "":
		return 0, ErrInvalid.Errorf("commit refused: %s", body.Refused)
	case answer.Status >= http.StatusBadRequest && body.Refused != "":
		return 0, ErrUnavailable.Errorf("commit refused: %s", body.Refused)
	}
	return 0, ErrUnknownOutcome.Errorf("status %d: %s", answer.Status, excerpt(answer.Body))
}

const excerptBytes = 200

func excerpt(body []byte) string {
	if len(body) > excerptBytes {
		body = body[:excerptBytes]
	}
	return string(body)
}
