// Package serve serves Twirp services over fasthttp, with limits on the memory
// and connections that clients can tie up.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Limits and timeouts of a server.
const (
	MaxBody     = 16 << 20 // bytes of a request's body
	MaxHeader   = 8 << 10  // bytes of a request's header
	ReadTimeout = 10 * time.Second
	IdleTimeout = 20 * time.Second
	MaxClients  = 16384 // connections
)

// Route passes requests whose path starts with a prefix to a handler.
type Route struct {
	Prefix  string
	Handler http.Handler
}

// Page is a plain-text page at a fixed path.
type Page struct {
	Path string
	Body func() (status int, body string)
}

// Server is an HTTP server on one port.
type Server struct {
	http *fasthttp.Server
	ln   net.Listener
}

// Listen opens a port that serves Twirp routes and pages. The error names the address.
func Listen(addr string, routes []Route, pages []Page) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &Error{Op: "listen on " + addr, Kind: Listening, Err: err}
	}
	return &Server{ln: ln, http: &fasthttp.Server{
		Handler:               handler(routes, pages),
		ReadTimeout:           ReadTimeout,
		IdleTimeout:           IdleTimeout,
		ReadBufferSize:        MaxHeader,
		MaxRequestBodySize:    MaxBody,
		Concurrency:           MaxClients,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		ErrorHandler:          writeReadError,
		Logger:                discardLogger{},
	}}, nil
}

// ListenHandler opens a port for a fasthttp handler. A panic in the handler fails only
// the request that it was serving.
func ListenHandler(addr string, handle fasthttp.RequestHandler) (*Server, error) {
	s, err := Listen(addr, nil, nil)
	if err != nil {
		return nil, err
	}
	s.http.Handler = func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if p := recover(); p != nil {
				ctx.Error("internal error", fasthttp.StatusInternalServerError)
			}
		}()
		handle(ctx)
	}
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Run accepts and serves connections until the server is stopped.
func (s *Server) Run() error {
	if err := s.http.Serve(s.ln); err != nil {
		return &Error{Op: "serve " + s.Addr(), Kind: Serving, Err: err}
	}
	return nil
}

// Stop refuses new connections and waits for running requests to end, at most
// until the context is done.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return &Error{Op: "stop " + s.Addr(), Kind: Stopping, Err: err}
	}
	return nil
}

func handler(routes []Route, pages []Page) fasthttp.RequestHandler {
	handlers := make([]fasthttp.RequestHandler, len(routes))
	for i, r := range routes {
		handlers[i] = fasthttpadaptor.NewFastHTTPHandler(recoverPanics(r.Handler))
	}
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		for i, r := range routes {
			if strings.HasPrefix(path, r.Prefix) {
				handlers[i](ctx)
				return
			}
		}
		servePage(ctx, path, pages)
	}
}

// writeReadError responds to a request that could not be read.
func writeReadError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		ctx.Error(fmt.Sprintf("the body is larger than %d bytes", MaxBody), fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &small):
		ctx.Error(fmt.Sprintf("the header is larger than %d bytes", MaxHeader), fasthttp.StatusRequestHeaderFieldsTooLarge)
	default:
		ctx.Error("malformed HTTP request", fasthttp.StatusBadRequest)
	}
}

func servePage(ctx *fasthttp.RequestCtx, path string, pages []Page) {
	for _, p := range pages {
		if p.Path == path {
			status, body := p.Body()
			ctx.SetStatusCode(status)
			ctx.SetBodyString(body)
			return
		}
	}
	ctx.Error(fmt.Sprintf("no page %q", path), fasthttp.StatusNotFound)
}

// recoverPanics turns a panic in a handler into an error response to its request.
func recoverPanics(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				http.Error(w, "internal error", http.StatusInternalServerError)
			}
		}()
		h.ServeHTTP(w, r)
	})
}

// discardLogger discards fasthttp's own log lines about misbehaving clients.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}
