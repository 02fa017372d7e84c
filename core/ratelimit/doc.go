// Package ratelimit enforces the request rates that backend servers announce.
//
// An overloaded server announces how many requests per second it accepts from all
// instances together, while hundreds of instances send to it. An instance that applied
// the whole limit to itself would overload the server by a factor of the number of
// instances, and so would rounding up the share of each instance at a server that
// accepts a few requests per second.
//
// Therefore each instance uses a part of the limit equal to its part of all incoming
// calls (Share) and turns it into tokens that are valid for a short time (Bucket).
// Sending a request needs no coordination: the call rates are part of the load counts
// that instances exchange anyway, and so is the latest announcement of each server
// (Announced). When tokens are scarce, Queue orders the calls that wait for one.
//
// The package does no I/O: time and random numbers are passed in.
package ratelimit
