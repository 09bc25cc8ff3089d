package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dragonflydeck.example/fleet/serve"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

func TestWrongSettingsStopTheStartWithOneLine(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"run --host e1", `--domain (DECKD_DOMAIN) is "": it must be set`},
		{"run --host a.b --domain d1", `--host (DECKD_HOST) is "a.b": none of the characters . / are allowed`},
		{"run --host e1 --domain d1 --log 127.0.0.1", `--log (DECKD_LOG) is "127.0.0.1": an address IP:PORT is needed`},
		{"run --host e1 --domain d1 --log 127.0.0.1:1 --roster 127.0.0.1:2 --seats 9", `--seats (DECKD_SEATS) is "9": at most 8 is allowed`},
		{"run --host e1 --domain d1 --log 127.0.0.1:1 --roster 127.0.0.1:2 --drain 1s", `--drain (DECKD_DRAIN) is "1s": it must be longer than lame, which is 2s`},
		{"run --nonsense", "unknown flag: --nonsense"},
	} {
		p := run(t, "deckd", strings.Fields(c.args)...)
		qt.Check(t, p.exitStatus(10*time.Second), qt.Equals, 2)
		qt.Check(t, p.output(), qt.Contains, c.want)
		qt.Check(t, strings.Count(p.output(), "\n"), qt.Equals, 1)
	}
}

func TestHostileInputGetsAClearErrorAndHarmsNothingElse(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	url := "http://" + s.addr("e1") + "/twirp/dragonfly."
	for _, c := range []struct {
		path, kind string
		body       []byte
		status     int
		want       string
	}{
		{"Desk/Call", "application/protobuf", []byte("\xff\xff\xff\xff\xff"), 400, "malformed"},
		{"Desk/Call", "application/json", []byte(`{"caller":`), 400, "malformed"},
		{"Desk/Call", "application/json", []byte(`{"caller":"a","limit":"-5"}`), 400, "limit is -5 ms"},
		{"Desk/Call", "text/plain", []byte("hello"), 404, "bad_route"},
		{"Desk/Nothing", "application/json", []byte("{}"), 404, "bad_route"},
		{"Desk/Submit", "application/json", []byte(`{"spec":{"id":"a/b","space":"s"}}`), 400, "no slash"},
		{"Peer/Relay", "application/json", []byte(`{}`), 400, "call is required"},
		{"Peer/Beat", "application/json", []byte(`{"pulses":[{"host":"ghost","inc":"9","beat":"9"}],"holds":[{}]}`), 200, ""},
		{"Nobody/Call", "application/json", []byte("{}"), 404, "no page"},
		{"Desk/Call", "application/protobuf", make([]byte, serve.MaxBody+1), 413, ""},
	} {
		resp, err := http.Post(url+c.path, c.kind, bytes.NewReader(c.body))
		if c.status == 413 && err != nil {
			continue // the server may close the connection before it has read the whole body
		}
		qt.Assert(t, err, qt.IsNil)
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		qt.Check(t, resp.StatusCode, qt.Equals, c.status, qt.Commentf("%s: %s", c.path, text))
		qt.Check(t, string(text), qt.Contains, c.want)
	}
	for _, raw := range []string{"\x00\x01\x02\x03\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n", strings.Repeat("A", 1<<20)} {
		conn, err := net.Dial("tcp", s.addr("e1"))
		qt.Assert(t, err, qt.IsNil)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprint(conn, raw)
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, 1<<16))
		conn.Close()
	}
	ctx, cancel := callContext()
	defer cancel()
	r, err := s.desk("e1").Call(ctx, &wire.CallAsk{Caller: "after", Repeat: true, Limit: 5000, Body: []byte("all")})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(r.Body), qt.Equals, "answer to all")
}
