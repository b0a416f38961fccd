// Package route decides which service a request is sent to. Compile builds an immutable Table from rules; looking up a
// request in it allocates nothing. The package does no I/O, starts no goroutine and reads no clock.
//
// # Precedence
//
// Of the rules that match a request, the one with the highest precedence applies. Rules are compared in this order:
//
//  1. by host: an exact host before a suffix (*.example.org), a longer suffix before a shorter one, any host last;
//  2. by path: an exact path before a prefix, a longer prefix before a shorter one, any path last;
//  3. by the other criteria: a rule with tenants before one without, then a rule with classes before one without, then
//     a rule with methods before one without.
//
// Compile reports an error if one request can match two rules of equal precedence, so a lookup is never ambiguous.
//
// Hosts are compared without port and trailing dot, and ignoring case (RFC 9110, section 4.2.3). Prefixes match whole
// segments: /pay matches /pay and /pay/x, but not /payroll.
//
// # Structure of a table
//
// A Table is an index of three levels: by host (exact hosts, suffixes, any host), by path (exact paths, prefixes, any
// path) and by the values of the other criteria. A lookup searches the entries of each level in the order of
// precedence. The maps are copy-on-write (sharedMap): WithChanges copies only the parts that change, and the new table
// shares all other parts with the previous one.
package route
