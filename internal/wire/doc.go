// Package wire speaks the simulator's protocol: batches of event records in, replies of action records out, and the
// settings text of an instance. It translates and decides nothing.
//
// The names that the protocol and the settings text give to things are mapped to the terms of the decision module here
// and nowhere else; Event, Actions and ParseSettings have the module's terms only.
//
// # Frames
//
// All numbers are little-endian; times are milliseconds as float64. A batch has a header of 20 bytes: sequence number
// (uint32), time (float64), length of the body and number of records (uint32 each). A reply has one of 12 bytes:
// sequence number of its batch, number of records and length of the body (uint32 each). A record is a code of one byte
// and the fields that the code stands for, without padding. Events and actions are for the instance that the last
// instance record named.
package wire
