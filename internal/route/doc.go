// Package route decides which service a request goes to. Rules are compiled into a Table, which never changes;
// looking up a request allocates nothing. It is pure: no I/O, no goroutine, no clock.
//
// # Precedence
//
// Of the rules that match a request, the first by this order wins:
//
//  1. the host: an exact one before a suffix (*.example.org), a longer suffix before a shorter one, any host last;
//  2. the path: an exact one before a prefix, a longer prefix before a shorter one, any path last;
//  3. the other criteria of the rule: a tenant before none, then a class before none, then a method before none.
//
// The order is total: two rules that one request could match with none before the other are an error of the rules.
//
// Hosts are compared without port, trailing dot and case (RFC 9110, section 4.2.3). Prefixes match whole segments:
// /pay matches /pay and /pay/x, not /payroll.
//
// # Structure of a table
//
// A Table is an index of three levels: by host (exact hosts, then suffixes, then any host), by path (the same) and by
// the values of the other criteria. A lookup tries the levels in the order of precedence. The maps are copy-on-write
// (sharedMap), so that WithChanges costs what changes and shares the rest with the earlier table.
package route
