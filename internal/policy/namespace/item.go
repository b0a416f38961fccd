package namespace

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"lapisspread/internal/policy/merkle"
)

// A policy is a set of items. Each rule is one, under its kind and name, such as "service payouts". If its name is that
// of a namespace's rule, the namespace stands first, such as "dispatch/route r1", so that what a team changes together
// lies together in the tree. The value is the JSON that the rule has in the policy's encoding, but without the numbers
// of files: the number of a namespace's file stands once, under "dispatch/number". A new version of a file changes the
// sources of all its rules, and only the rules that say something else shall be sent to proxies. The item "form" is the
// policy's format.
const (
	formatKey  = "form"
	numberKind = "number"
)

// longNameBytes is how much of a name stands in a key that would be too long.
const longNameBytes = 64

// numberKey is the key of the number of a namespace's file.
func numberKey(namespace string) string { return namespace + "/" + numberKind }

// ruleKey is the key of a rule. A name that would make it too long is replaced by its beginning and its hash.
func ruleKey(kind, name string) string {
	if len(kind)+1+len(name) > merkle.MaxKeyBytes {
		sum := sha256.Sum256([]byte(name))
		return kind + " " + name[:longNameBytes] + "..." + hex.EncodeToString(sum[:])
	}
	if namespace, rest, ok := strings.Cut(name, "/"); ok && !strings.Contains(namespace, " ") {
		return namespace + "/" + kind + " " + rest
	}
	return kind + " " + name
}

// splitKey returns the kind of an item and the name of its rule; of a number, its namespace.
func splitKey(key string) (kind, name string) {
	namespace, rest, ok := strings.Cut(key, "/")
	if !ok || strings.Contains(namespace, " ") {
		kind, name, _ = strings.Cut(key, " ")
		return kind, name
	}
	if rest == numberKind {
		return numberKind, namespace
	}
	kind, name, _ = strings.Cut(rest, " ")
	return kind, namespace + "/" + name
}

// encodeJSON returns the JSON of a value without blanks.
func encodeJSON(v any) ([]byte, error) {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(text.Bytes(), []byte("\n")), nil
}

// decodeJSON decodes a value that must be written as encodeJSON writes it.
func decodeJSON(text []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if again, err := encodeJSON(v); err != nil || !bytes.Equal(again, text) {
		return errors.New("it is not in the one encoding that it has")
	}
	return nil
}

// fileOrigin is the file of a namespace that rules come from.
type fileOrigin struct {
	number  uint64 // 0 is none
	sources int    // how many sources name the file
}

// origins returns the files that rules come from, by namespace. Callers do not change them.
func (p *Policy) origins() (map[string]fileOrigin, error) {
	if p.files != nil {
		return p.files, nil
	}
	files := map[string]fileOrigin{}
	var err error
	for _, list := range ruleLists {
		list.eachSource(p, func(s *Source) {
			f := files[s.Namespace]
			if s.Number == 0 || f.sources > 0 && f.number != s.Number {
				err = InvalidItemError{
					numberKey(s.Namespace),
					fmt.Errorf("its rules come from versions %d and %d of its file", f.number, s.Number),
				}
			}
			files[s.Namespace] = fileOrigin{s.Number, f.sources + 1}
		})
	}
	return files, err
}

// Tree returns the policy's items as a tree, whose root names the content. It returns an InvalidItemError if a list is
// out of order or if a namespace's rules come from two versions of its file; Merge never gives such a policy.
func (p *Policy) Tree() (*merkle.Tree, error) {
	var items []merkle.Item
	add := func(key string, v any) error {
		text, err := encodeJSON(v)
		if err != nil {
			return InvalidItemError{key, err}
		}
		items = append(items, merkle.Item{Key: key, Value: text})
		return nil
	}
	if err := add(formatKey, p.Format); err != nil {
		return nil, err
	}
	files, err := p.origins()
	if err != nil {
		return nil, err
	}
	for _, namespace := range slices.Sorted(maps.Keys(files)) {
		if err := add(numberKey(namespace), files[namespace].number); err != nil {
			return nil, err
		}
	}
	for _, list := range ruleLists {
		if err := list.addItems(p, add); err != nil {
			return nil, err
		}
	}
	return merkle.Build(items)
}

// FromTree returns the policy of some items. It returns an InvalidItemError for items that Tree does not give, and an
// error of package route for routes that do not compile.
func FromTree(t *merkle.Tree) (*Policy, error) {
	if _, ok := t.Get(formatKey); !ok {
		return nil, InvalidItemError{formatKey, errors.New("it is missing")}
	}
	p, _, err := (&Policy{Format: policyFormat}).withItems(slices.Collect(t.Items()), nil)
	if err != nil {
		return nil, err
	}
	if err := p.compile(); err != nil {
		return nil, err
	}
	return p, nil
}
