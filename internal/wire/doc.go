// Package wire speaks the simulator's protocol: batches of event records in, replies of action records out, and the
// settings text of an instance. It only translates and makes no decisions.
//
// Only this package maps the names of the protocol and of the settings text to the terms of the decision module. Event,
// Actions and ParseSettings use the terms of the module.
//
// # Frames
//
// All numbers are little-endian; times are milliseconds as float64. A batch has a header of 20 bytes: sequence number
// (uint32), time (float64), length of the body in bytes and number of records (uint32 each). A reply has a header of 12
// bytes: sequence number of its batch, number of records and length of the body in bytes (uint32 each). A record is a
// code of one byte and the fields of that record type, without padding. Events and actions belong to the instance named
// by the instance record before them.
package wire
