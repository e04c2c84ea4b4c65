// Package sendonce posts an HTTP request at most once. When a request fails, the error
// says whether any byte of it can have left this process.
//
// net/http itself sends some requests a second time when a reused connection breaks:
// requests without body; GET, HEAD, OPTIONS, TRACE or requests with an Idempotency-Key
// header, if their body can be rewound (Request.GetBody); and requests of which nothing
// was written. It also repeats the body after a redirect with status 307 or 308. Post
// prevents all of these: it gives net/http a body that can't be rewound, uses HTTP/1.1
// only and no proxy, and follows no redirect.
package sendonce

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

// Defaults of Options.
const (
	DefaultDialTimeout    = time.Second
	DefaultIdleTimeout    = 90 * time.Second
	DefaultMaxConnsOfHost = 64
	DefaultMaxIdleOfHost  = 4
	DefaultMaxIdle        = 512
	DefaultMaxAnswerBytes = 8 << 20
)

// bufferBytes is the size of each of the two buffers of a connection. Most requests and
// answers fit, and larger ones bypass the buffers.
const bufferBytes = 1 << 10

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options are the settings of a Client; zero values stand for the defaults.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout time.Duration
	// MaxConnsOfHost bounds the connections to one host. Further requests wait unsent.
	MaxConnsOfHost int
	// MaxIdleOfHost bounds the idle connections that are kept to one host, MaxIdle those
	// to all hosts. Each one takes about 20 KB of memory.
	MaxIdleOfHost, MaxIdle int
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes int64
	// OneHost says that all requests go to one host. Its idle connections are then closed after a
	// request that ran out of time: they may be silent as well, and each would cost a later request
	// its whole time.
	OneHost bool
	// Dial opens connections; nil uses net.Dialer.
	Dial DialFunc
	// Header adds header fields to a request, such as those of a trace; may be nil.
	Header func(ctx context.Context, header http.Header)
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxConnsOfHost, DefaultMaxConnsOfHost)
	setDefault(&o.MaxIdleOfHost, DefaultMaxIdleOfHost)
	setDefault(&o.MaxIdle, DefaultMaxIdle)
	setDefault(&o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Client sends requests and keeps idle connections for reuse. It is safe for concurrent
// use.
type Client struct {
	options   Options
	transport *http.Transport
	http      *http.Client
}

// New returns a client.
func New(options Options) *Client {
	c := &Client{options: options.withDefaults()}
	c.transport = newTransport(c.options)
	c.http = &http.Client{Transport: c.transport, CheckRedirect: refuseRedirect}
	return c
}

func newTransport(o Options) *http.Transport {
	var http1 http.Protocols
	http1.SetHTTP1(true)
	return &http.Transport{
		Proxy:               nil,
		DialContext:         dialGated(o.Dial),
		Protocols:           &http1,
		DisableCompression:  true,
		MaxConnsPerHost:     o.MaxConnsOfHost,
		MaxIdleConnsPerHost: o.MaxIdleOfHost,
		MaxIdleConns:        o.MaxIdle,
		IdleConnTimeout:     o.IdleTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the connections that are not in use.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Answer is a complete HTTP response.
type Answer struct {
	Status int
	Body   []byte
}

// UnsentError means that no byte of the request was written and none will be.
type UnsentError struct{ Err error }

// Error implements error.
func (e *UnsentError) Error() string { return "request not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// SentError means that a part of the request may have been sent and no complete answer
// was received, so the effect of the request is unknown.
type SentError struct{ Err error }

// Error implements error.
func (e *SentError) Error() string { return "request sent, no whole answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SentError) Unwrap() error { return e.Err }

var errEmptyBody = errors.New("a request that is sent once needs a body, since net/http may repeat one without")

// Post sends body as JSON at most once. An error is an *UnsentError or a *SentError. If
// ctx ends before the first byte is written, the request is never sent.
func (c *Client) Post(ctx context.Context, url string, body []byte) (*Answer, error) {
	watch := writeWatch{ctx: ctx}
	request, err := c.newPost(httptrace.WithClientTrace(ctx, watch.trace()), url, body)
	if err != nil {
		return nil, &UnsentError{err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.closeSilent(err)
		return nil, classify(err, watch.seal())
	}
	answer, err := c.readAnswer(response)
	if err != nil {
		c.closeSilent(err)
		return nil, &SentError{err}
	}
	return answer, nil
}

func (c *Client) newPost(ctx context.Context, url string, body []byte) (*http.Request, error) {
	if len(body) == 0 {
		return nil, errEmptyBody
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, onceBody{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	if c.options.Header != nil {
		c.options.Header(ctx, request.Header)
	}
	return request, nil
}

func classify(err error, written bool) error {
	if written {
		return &SentError{err}
	}
	return &UnsentError{err}
}

// onceBody hides the type of its reader from net/http, which would otherwise set GetBody
// and could send the request again.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// Get reads a URL. net/http may send the request again on a broken connection, which is
// harmless for a read.
func (c *Client) Get(ctx context.Context, url string) (*Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	if c.options.Header != nil {
		c.options.Header(ctx, request.Header)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.closeSilent(err)
		return nil, err
	}
	answer, err := c.readAnswer(response)
	c.closeSilent(err)
	return answer, err
}

// closeSilent closes the idle connections to the client's only host after a request that ran out of time.
func (c *Client) closeSilent(err error) {
	if c.options.OneHost && errors.Is(err, context.DeadlineExceeded) {
		c.Close()
	}
}

func (c *Client) readAnswer(response *http.Response) (*Answer, error) {
	defer func() { _ = response.Body.Close() }()
	limit := c.options.MaxAnswerBytes
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read answer with status %d: %w", response.StatusCode, err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("answer with status %d exceeds %d bytes: raise the limit or send less", response.StatusCode, limit)
	}
	return &Answer{Status: response.StatusCode, Body: body}, nil
}
