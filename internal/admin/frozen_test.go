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

// The reply to each command must stay the same, byte for byte. testdata/replies.txt was written at commit c8fad44, when
// this package was internal/console, with
//
//	go test ./internal/console -run TestFrozenReplies -write-frozen
func TestFrozenReplies(t *testing.T) {
	backend := &stubBackend{}
	s := New(backend, slog.New(slog.DiscardHandler))
	var all bytes.Buffer
	for _, line := range []string{"PING", "serve", "PING", "INFO", "ADMISSION", "DIAMETER", "COMEBACK", "FLEET", "VIEW",
		"ROUTES", "DETACH s-1", "DETACH s-9", "ATTACH s-1", "LAMEDUCK", "REJOIN",
		"BLOCK 10.0.0.1 10m", "BLOCK 10.0.0.1 soon",
		"UNBLOCK 10.0.0.1", "  PING  ", "PING now", "DETACH", "BLOCK 10.0.0.1", "", "ping", strings.Repeat("x", 100)} {
		if line == "serve" { // not a command: from here on the backend reports that it serves
			backend.serving = true
			continue
		}
		all.WriteString("> " + line + "\n")
		all.Write(s.execute(line))
	}
	for _, text := range []string{strings.Repeat("y", 600), ""} {
		if _, err := readLine(strings.NewReader(text)); err == nil {
			t.Errorf("readLine of %d bytes, without a line feed, returned no error, want one", len(text))
		} else {
			all.WriteString("> unreadable\n")
			all.Write(errorReply(err))
		}
	}
	// The stored file has the word "orders" for the calls of the backend.
	all.WriteString("orders: " + strings.Join(backend.calls, ", ") + "\n")
	if *writeFrozen {
		if err := os.WriteFile("testdata/replies.txt", all.Bytes(), 0o644); err != nil {
			t.Fatalf("writing the stored replies: %v", err)
		}
	}
	want, err := os.ReadFile("testdata/replies.txt")
	if err != nil {
		t.Fatalf("reading the stored replies: %v", err)
	}
	if !bytes.Equal(all.Bytes(), want) {
		t.Errorf("replies to all commands: got\n%s\nwant, as stored in testdata/replies.txt,\n%s", all.Bytes(), want)
	}
}
