// Package dcid defines the named types for identifiers that the packages of
// dandelioncart share.
package dcid

// HostID names a host of the tier.
type HostID string

// Department names a customer of the tier.
type Department string

// FailureDomain names a failure domain.
type FailureDomain string

// GroupName names a service group.
type GroupName string

// ServiceName names a service within a service group.
type ServiceName string

// ServerAddr is the IP address and port of an upstream server.
type ServerAddr string

// ShardID names a shard within one map epoch of a service.
type ShardID string

// IndexVersion labels a snapshot of an index. Versions are ordered as text.
type IndexVersion string

// MapEpoch numbers the shard maps of a service. A repartition increases it.
type MapEpoch uint32

// SchemaVersion names a schema version of records.
type SchemaVersion string

// Revision numbers accepted configurations, from 1.
type Revision uint32

// OrderKey is the idempotency key of an order, a UUIDv7.
type OrderKey string

// OperationID identifies one attempt to change the store. When the reply is
// lost, reading the value back and comparing the id shows whether the attempt
// took effect.
type OperationID string

// RequestID identifies one request of a caller.
type RequestID string

// Attempt numbers the transmissions of one sub-query or order, from 1.
type Attempt uint32

// Partition numbers a ledger partition, from 0.
type Partition int32

// RouteName names a route of a configuration.
type RouteName string

// ServerID names one start of an upstream server. An address can belong to
// several servers, one after another.
type ServerID string
