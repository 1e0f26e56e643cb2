package dccapacity

import "time"

// Target is the size for which the software is designed, as the users require it.
var Target = Size{
	Hosts:             1300,
	Servers:           10000,
	QueriesPerSecond:  320000,
	ServersPerQuery:   310,
	FailureDomains:    12,
	Regions:           6,
	ChangesPerDay:     740,
	RestartsPerDay:    2400,
	FailedHostsPerDay: 24,
}

// Size describes the size of a deployment.
type Size struct {
	Hosts             int `json:"hosts"`
	Servers           int `json:"servers"`
	QueriesPerSecond  int `json:"queries-per-second"`
	ServersPerQuery   int `json:"servers-per-query"`
	FailureDomains    int `json:"failure-domains"`
	Regions           int `json:"regions"`
	ChangesPerDay     int `json:"changes-per-day"`
	RestartsPerDay    int `json:"restarts-per-day"`
	FailedHostsPerDay int `json:"failed-hosts-per-day"`
}

// Limits of the control plane at the target size, as the users require them. The
// limits of cores, memory in bytes and network bytes per second are those of one
// host. The store calls per second are those of all hosts together.
// LimitConfigInForce is the time until a new revision must be in force on every
// host. HeartbeatInterval is the interval that the measurements assume.
const (
	LimitCores                = 0.016
	LimitMemoryBytes          = 256 << 20
	LimitBytesPerSecond       = 4 << 10
	LimitStoreWritesPerSecond = 300.0
	LimitStoreReadsPerSecond  = 2000.0
	HeartbeatInterval         = time.Second
	LimitConfigInForce        = 5 * time.Second
)

// MeasuredHostCounts are the numbers of hosts at which costs are measured.
var MeasuredHostCounts = []int{4, 16, 64, 256, 640, 1300}
