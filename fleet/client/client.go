// Package client provides Twirp clients over fasthttp for calls to other
// processes. Its errors tell whether any byte of a request may have been sent.
package client

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits and timeouts of connections.
const (
	DialTimeout       = 500 * time.Millisecond
	DefaultLimit      = 10 * time.Second // timeout of a call whose context has no deadline
	IdleTimeout       = 8 * time.Second  // below the idle timeout of our servers
	MaxReply          = 64 << 20         // bytes
	MaxConns          = 256
	KeepAliveInterval = 1 * time.Second // idle time before the first probe, and time between probes; the shortest that TCP keep-alive supports
	keepAliveCount    = 3               // unanswered probes until the connection is closed
)

// Client is an HTTP client for one address, for use by Twirp clients. It
// never sends a request twice.
type Client struct {
	host *fasthttp.HostClient
}

// NewClient returns a client that opens at most conns connections.
func NewClient(addr string, conns int) *Client {
	return &Client{host: &fasthttp.HostClient{
		Addr:                          addr,
		Dial:                          Dial,
		MaxConns:                      conns,
		MaxIdleConnDuration:           IdleTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    NeverRetry,
		MaxResponseBodySize:           MaxReply,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
	}}
}

// NeverRetry is a retry policy that never sends a request again.
func NeverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// dialer enables TCP keep-alive, as a connection may be lost without a reset.
var dialer = net.Dialer{
	Timeout: DialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: KeepAliveInterval, Interval: KeepAliveInterval, Count: keepAliveCount,
	},
}

// Dial opens a connection whose loss is detected within seconds.
func Dial(addr string) (net.Conn, error) {
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, &Error{Op: "dial " + addr, Kind: Unsent, Err: err}
	}
	return conn, nil
}

// Do sends a request and returns the complete response.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := toFastHTTP(r, req); err != nil {
		return nil, &Error{Op: "read request", Kind: Unsent, Err: err}
	}
	until := deadline(r.Context())
	if !time.Now().Before(until) {
		return nil, &Error{Op: "call " + c.host.Addr, Kind: Unsent, Err: context.DeadlineExceeded}
	}
	if err := c.host.DoDeadline(req, resp, until); err != nil {
		return nil, classify("call "+c.host.Addr, err)
	}
	return toHTTPResponse(r, resp), nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.host.CloseIdleConnections() }

func toFastHTTP(r *http.Request, req *fasthttp.Request) error {
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(r.URL.String())
	for k, v := range r.Header {
		if k != "Twirp-Version" && k != "Accept" {
			req.Header.Set(k, v[0])
		}
	}
	if r.Body == nil {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	req.SetBody(body)
	return err
}

func deadline(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(DefaultLimit)
}

func toHTTPResponse(r *http.Request, resp *fasthttp.Response) *http.Response {
	h := http.Header{}
	h.Set("Content-Type", string(resp.Header.ContentType()))
	body := append([]byte(nil), resp.Body()...)
	return &http.Response{
		StatusCode: resp.StatusCode(),
		Status:     http.StatusText(resp.StatusCode()),
		Header:     h,
		Body:       io.NopCloser(bytes.NewReader(body)),
		Request:    r,
	}
}

// classify distinguishes errors before the first byte was sent from those after.
func classify(op string, err error) error {
	var own *Error
	if errors.As(err, &own) {
		return own
	}
	if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
		return &Error{Op: op, Kind: Unsent, Err: err}
	}
	return &Error{Op: op, Kind: Unanswered, Err: err}
}
