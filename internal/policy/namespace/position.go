package namespace

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"lapisspread/internal/strictconfig"
)

// keyLines returns the line, from 1, of each key and table of a TOML text. The keys of the map have the
// form "route[2].to" or "route[2]".
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

// lineCounter returns the lines of offsets in a text. The offsets must be given in increasing order.
type lineCounter struct {
	text   []byte
	offset int // the largest offset given so far
	line   int // line of offset, starting at 1
}

// key returns the dotted key of a TOML expression and its line, or 0 if the expression has no key.
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

// lineAt returns the line of an offset.
func (c *lineCounter) lineAt(offset int) int {
	if offset > c.offset {
		c.line += bytes.Count(c.text[c.offset:offset], []byte("\n"))
		c.offset = offset
	}
	return c.line
}

// keyError returns a FileError for a key. Its line is that of the key or, if the key is missing, that of its table.
func keyError(path string, lines map[string]int, key string, err error) error {
	line, ok := lines[key]
	if i := strings.LastIndexByte(key, '.'); !ok && i >= 0 {
		line = lines[key[:i]]
	}
	return FileError{path, line, key, err}
}

// keyErrors collects the errors in one policy file or declaration.
type keyErrors struct {
	path  string
	lines map[string]int // line of each key, as keyLines returns it
	list  []error        // the collected errors
}

// add adds an error at a key.
func (e *keyErrors) add(key string, err error) {
	e.list = append(e.list, keyError(e.path, e.lines, key, err))
}

// addIf adds an error at a key if the condition holds.
func (e *keyErrors) addIf(invalid bool, key, format string, args ...any) {
	if invalid {
		e.add(key, fmt.Errorf(format, args...))
	}
}

// checkName adds an error unless a name is valid for strictconfig: 1 to 64 lower-case letters, digits and dashes.
func (e *keyErrors) checkName(key, name string) {
	e.addIf(!strictconfig.ValidName(name), key, "%q: wanted small letters, digits and dashes", name)
}

// decodeFile decodes a TOML text and rejects unknown keys. It returns a FileError with the line that strictconfig
// reports.
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
