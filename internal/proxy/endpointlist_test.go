package proxy

import (
	"strings"
	"testing"

	"lapisspread/decision"
)

func TestParseListRejects(t *testing.T) {
	for name, text := range map[string]string{
		"not JSON":          `<html>`,
		"no generation":     `{"reset":true,"instances":[]}`,
		"no id":             listText(1, true, memberText("", "127.0.0.1:1", "active")),
		"no address":        listText(1, true, memberText("a", "", "active")),
		"unknown lifecycle": listText(1, true, memberText("a", "127.0.0.1:1", "resting")),
		"start time out of range": strings.Replace(listText(1, true, memberText("a", "127.0.0.1:1", "active")),
			`"startedAtMs":0`, `"startedAtMs":1e300`, 1),
	} {
		if list, err := parseList([]byte(text)); err == nil {
			t.Errorf("case %q: parseList() = %+v, want an error", name, list)
		}
	}
	list, err := parseList([]byte(listText(7, false, memberText("a", "", "left"))))
	if err != nil || list.Version != 7 || list.Full || list.Endpoints[0].State != decision.Removed {
		t.Errorf("parseList(change) = %+v, error %v; want version 7, not full, and a removed endpoint", list, err)
	}
}

func TestBackendIDsComeFromNames(t *testing.T) {
	// The values are fixed: other proxies, and this one after a restart, must compute the same values.
	if id := backendID("s-5be2a07c"); id != 0x4caec46a {
		t.Errorf("backendID(%q) = %#x, want %#x", "s-5be2a07c", id, 0x4caec46a)
	}
	if h := keyHash("acct-17"); h != 0xc7cf8d5bbc7d8ff1 {
		t.Errorf("keyHash(%q) = %#x, want %#x", "acct-17", h, uint64(0xc7cf8d5bbc7d8ff1))
	}
	if h := keyHash(""); h != 0 {
		t.Errorf("keyHash(%q) = %#x, want 0", "", h)
	}
}
