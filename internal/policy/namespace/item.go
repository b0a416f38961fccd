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

// A policy can be represented as a set of items, each with a key and a value. There is one item for each rule. Its key
// is the kind and the name of the rule, such as "service payouts". If the name begins with a namespace, the key begins
// with that namespace, such as "dispatch/route r1", so that rules that a team changes together are close together in
// the tree.
//
// The value is the JSON of the rule in the policy's encoding, but without the file numbers in its sources. The number
// of a namespace's file has an item of its own, such as "dispatch/number". This is because a new version of a file
// changes the number in the sources of all its rules, but only rules whose content changed should be sent to proxies.
//
// The item "form" is the policy's format.
const (
	formatKey  = "form"
	numberKind = "number"
)

// longNameBytes is the length of the beginning of a name that is kept in a key when the whole name is too long for it.
const longNameBytes = 64

// numberKey returns the key of the item for the number of a namespace's file.
func numberKey(namespace string) string { return namespace + "/" + numberKind }

// ruleKey returns the key of a rule's item. A name that would make the key too long is replaced by its beginning and
// its hash.
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

// splitKey returns the kind of an item and the name of its rule. For the number of a file, the name is the namespace.
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

// encodeJSON returns the JSON of a value without whitespace and without HTML escapes.
func encodeJSON(v any) ([]byte, error) {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(text.Bytes(), []byte("\n")), nil
}

// decodeJSON decodes a value. It returns an error if the text is not exactly what encodeJSON gives for the value.
func decodeJSON(text []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if encoded, err := encodeJSON(v); err != nil || !bytes.Equal(encoded, text) {
		// The text means: the value differs from what encodeJSON returns for it, for example in whitespace.
		return errors.New("it is not in the one encoding that it has")
	}
	return nil
}

// fileOrigin describes the file of a namespace that rules of a policy come from.
type fileOrigin struct {
	number  uint64 // 0 if the policy has no number for the file
	sources int    // number of sources in the policy that name the file
}

// origins returns, by namespace, the files that the policy's rules come from. Callers must not change the map. It
// returns an InvalidItemError if a file has no number, or if the rules of a namespace come from two versions of its
// file.
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

// Tree returns the policy's items as a Merkle tree. Its root hash identifies the content. It returns an
// InvalidItemError if a list is not sorted, or if a namespace's rules come from two versions of its file; Merge never
// returns such a policy.
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

// FromTree returns the policy that the items of a tree represent, with its routes compiled. It returns an
// InvalidItemError for items that Tree does not produce, and wraps an error of package route if the routes do not
// compile.
func FromTree(t *merkle.Tree) (*Policy, error) {
	if _, ok := t.Get(formatKey); !ok {
		// The text means: the tree has no item for the policy's format.
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
