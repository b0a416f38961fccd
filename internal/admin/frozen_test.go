package admin

import (
	"bytes"
	"flag"
	"log/slog"
	"os"
	"strings"
	"testing"
)

var writeFrozen = flag.Bool("write-frozen", false, "write testdata/replies.txt instead of comparing with it")

// testdata/replies.txt was written by the program of c8fad44 with
// go test ./internal/console -run TestFrozenReplies -write-frozen
// Each call's reply stays as it is, byte for byte.
func TestFrozenReplies(t *testing.T) {
	p := &stub{}
	s := New(p, slog.New(slog.DiscardHandler))
	var all bytes.Buffer
	for _, line := range []string{"PING", "serve", "PING", "INFO", "ADMISSION", "DIAMETER", "COMEBACK", "FLEET", "VIEW", "ROUTES",
		"DETACH s-1", "DETACH s-9", "ATTACH s-1", "LAMEDUCK", "REJOIN", "BLOCK 10.0.0.1 10m", "BLOCK 10.0.0.1 soon",
		"UNBLOCK 10.0.0.1", "  PING  ", "PING now", "DETACH", "BLOCK 10.0.0.1", "", "ping", strings.Repeat("x", 100)} {
		if line == "serve" { // not a call: from here on the proxy serves
			p.serving = true
			continue
		}
		all.WriteString("> " + line + "\n")
		all.Write(s.execute(line))
	}
	for _, text := range []string{strings.Repeat("y", 600), ""} {
		if _, err := readLine(strings.NewReader(text)); err == nil {
			t.Errorf("%.9q is taken for a line", text)
		} else {
			all.WriteString("> unreadable\n")
			all.Write(errorReply(err))
		}
	}
	all.WriteString("orders: " + strings.Join(p.calls, ", ") + "\n")
	if *writeFrozen {
		if err := os.WriteFile("testdata/replies.txt", all.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("testdata/replies.txt")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(all.Bytes(), want) {
		t.Errorf("got\n%s\nwant\n%s", all.Bytes(), want)
	}
}
