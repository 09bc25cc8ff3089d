// Package serve offers Twirp services over fasthttp, with bounds on what a
// client can make the process hold.
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

// Bounds of a server.
const (
	MaxBody    = 16 << 20 // bytes of one request
	MaxHeader  = 8 << 10  // bytes of its header
	ReadSpan   = 10 * time.Second
	IdleSpan   = 20 * time.Second
	MaxClients = 16384 // connections
)

// Route sends requests whose path has a prefix to a handler.
type Route struct {
	Prefix  string
	Handler http.Handler
}

// Page is a plain page.
type Page struct {
	Path string
	Body func() (status int, body string)
}

// Server is one listening port.
type Server struct {
	http *fasthttp.Server
	ln   net.Listener
}

// Listen opens the port. The error names the address.
func Listen(addr string, routes []Route, pages []Page) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &Error{Op: "listen on " + addr, Kind: Listening, Err: err}
	}
	return &Server{ln: ln, http: &fasthttp.Server{
		Handler:               handler(routes, pages),
		ReadTimeout:           ReadSpan,
		IdleTimeout:           IdleSpan,
		ReadBufferSize:        MaxHeader,
		MaxRequestBodySize:    MaxBody,
		Concurrency:           MaxClients,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		ErrorHandler:          refuse,
		Logger:                quiet{},
	}}, nil
}

// Plain opens the port for a handler of plain requests. A handler that panics
// fails its own request alone.
func Plain(addr string, handle fasthttp.RequestHandler) (*Server, error) {
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

// Run serves until the server is stopped.
func (s *Server) Run() error {
	if err := s.http.Serve(s.ln); err != nil {
		return &Error{Op: "serve " + s.Addr(), Kind: Serving, Err: err}
	}
	return nil
}

// Stop takes no new connections and lets running requests end, at most until
// the context does.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return &Error{Op: "stop " + s.Addr(), Kind: Stopping, Err: err}
	}
	return nil
}

func handler(routes []Route, pages []Page) fasthttp.RequestHandler {
	handlers := make([]fasthttp.RequestHandler, len(routes))
	for i, r := range routes {
		handlers[i] = fasthttpadaptor.NewFastHTTPHandler(guard(r.Handler))
	}
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		for i, r := range routes {
			if strings.HasPrefix(path, r.Prefix) {
				handlers[i](ctx)
				return
			}
		}
		page(ctx, path, pages)
	}
}

// refuse answers what is not a request that can be read.
func refuse(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		ctx.Error(fmt.Sprintf("the body is larger than %d bytes", MaxBody), fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &small):
		ctx.Error(fmt.Sprintf("the header is larger than %d bytes", MaxHeader), fasthttp.StatusRequestHeaderFieldsTooLarge)
	default:
		ctx.Error("not a request that can be read", fasthttp.StatusBadRequest)
	}
}

func page(ctx *fasthttp.RequestCtx, path string, pages []Page) {
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

// guard turns a panic of a handler into an error for that request alone.
func guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				http.Error(w, "internal error", http.StatusInternalServerError)
			}
		}()
		h.ServeHTTP(w, r)
	})
}

// quiet drops the library's own lines about broken clients.
type quiet struct{}

// Printf does nothing.
func (quiet) Printf(string, ...any) {}
