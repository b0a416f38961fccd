package api

import (
	"errors"
	"fmt"
	"os"

	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/strictconfig"
)

// CheckNamespaces reads the ownership declaration and the namespace files that the configuration names, and merges
// them. It returns one text for each rule that would be withheld, and for each quota whose limit in the declaration
// differs from that in the configuration. An error means that a file cannot be read or parsed.
func (c *Config) CheckNamespaces() (findings []string, err error) {
	if c.OwnershipFile == "" {
		return nil, nil
	}
	text, err := strictconfig.ReadFile(c.OwnershipFile, "the charter", namespace.MaxFileBytes)
	if err != nil {
		return nil, err
	}
	ownership, err := namespace.ParseDeclaration(c.OwnershipFile, text)
	if err != nil {
		return nil, err
	}
	limits := map[string]float64{}
	for _, q := range c.Quotas {
		limits[q.Name] = q.Limit
	}
	for _, q := range ownership.Quotas {
		if limit, ok := limits[q.Name]; ok && limit != float64(q.Limit) {
			findings = append(findings,
				fmt.Sprintf("budget %s: whole is %v in the fleet's file and %v in the charter", q.Name, limit, q.Limit))
		}
	}
	namespaces, err := c.readNamespaces()
	if err != nil {
		return nil, err
	}
	for _, withheld := range namespace.Merge(ownership, nil, namespaces).Withheld {
		findings = append(findings, WithAdvice(withheld).Error())
	}
	return findings, nil
}

// readNamespaces reads and parses all namespace files. It returns those that are valid and the errors of the others.
func (c *Config) readNamespaces() ([]*namespace.File, error) {
	var namespaces []*namespace.File
	var errs []error
	for _, path := range c.NamespaceFiles {
		n, err := readNamespace(path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		namespaces = append(namespaces, n)
	}
	return namespaces, errors.Join(errs...)
}

func readNamespace(path string) (*namespace.File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return namespace.Parse(path, text)
}
