package namespace

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"lapisspread/internal/strictconfig"
)

// keyLines returns the line of each key of a TOML text, under names such as "route[2].to" and "route[2]".
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	counter := lineCounter{text: text, line: 1}
	tables := map[string]int{}
	table := ""
	var parser unstable.Parser
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := counter.key(expression)
		switch expression.Kind {
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", key, tables[key])
			tables[key]++
			lines[table] = line
		case unstable.Table:
			table = key
			lines[table] = line
		case unstable.KeyValue:
			if table != "" {
				key = table + "." + key
			}
			lines[key] = line
		}
	}
	return lines
}

// lineCounter counts the lines of a text up to offsets that rise.
type lineCounter struct {
	text   []byte
	offset int
	line   int
}

// key returns the key of an expression and its line; 0 if it has no key.
func (c *lineCounter) key(expression *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := expression.Key(); it.Next(); {
		if line == 0 {
			line = c.lineAt(int(it.Node().Raw.Offset))
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), line
}

func (c *lineCounter) lineAt(offset int) int {
	if offset > c.offset {
		c.line += bytes.Count(c.text[c.offset:offset], []byte("\n"))
		c.offset = offset
	}
	return c.line
}

// keyError is a FileError at a key. Its line is that of the key, or that of the table it should be in.
func keyError(path string, lines map[string]int, key string, err error) error {
	line, ok := lines[key]
	if i := strings.LastIndexByte(key, '.'); !ok && i >= 0 {
		line = lines[key[:i]]
	}
	return FileError{path, line, key, err}
}

// keyErrors collects the faults of one file.
type keyErrors struct {
	path  string
	lines map[string]int
	list  []error
}

func (e *keyErrors) add(key string, err error) {
	e.list = append(e.list, keyError(e.path, e.lines, key, err))
}

// addIf adds a fault if it is one.
func (e *keyErrors) addIf(fault bool, key, format string, args ...any) {
	if fault {
		e.add(key, fmt.Errorf(format, args...))
	}
}

// checkName adds a fault if a name is not plain.
func (e *keyErrors) checkName(key, name string) {
	e.addIf(!strictconfig.ValidName(name), key, "%q: wanted small letters, digits and dashes", name)
}

// decodeFile decodes a TOML text strictly. Its errors are a FileError.
func decodeFile(path string, text []byte, v any) error {
	err := strictconfig.Decode(path, text, v)
	if err == nil {
		return nil
	}
	message := strings.TrimPrefix(err.Error(), path+":")
	line := 0
	if number, rest, ok := strings.Cut(message, ": "); ok {
		if _, err := fmt.Sscanf(number, "%d", &line); err == nil {
			message = rest
		}
	}
	return FileError{Path: path, Line: line, Err: errors.New(strings.TrimSpace(message))}
}
