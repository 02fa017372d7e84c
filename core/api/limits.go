package api

import "time"

// PathLimits is a page of an instance that accepts calls, served on its metrics address.
const PathLimits = "/limits"

// ServerLimit is an instance's state of a server that has announced a request limit.
type ServerLimit struct {
	Pool   string `json:"pool"`
	Server string `json:"server"`
	// PerSecond is the server's limit for all instances together, in force since Since.
	// Share is this instance's part of it, in requests per second.
	PerSecond float64   `json:"per_second"`
	Since     time.Time `json:"since"`
	Share     float64   `json:"share_per_second"`
	// Sent counts this instance's requests to the server since Since.
	Sent int `json:"sent"`
}

// LimitsPage holds the request limits known to an instance that accepts calls.
type LimitsPage struct {
	Limits []ServerLimit `json:"limits"`
	// Waiting counts the calls that wait for servers with limits.
	Waiting int `json:"waiting"`
}
