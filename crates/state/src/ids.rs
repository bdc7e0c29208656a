//! Names and numbers that identify things across the system.

use compact_str::CompactString;

/// `ServiceName` names a service, such as `medication-log`.
pub type ServiceName = CompactString;
/// `InstanceName` names one upstream instance; unique over the fleet.
pub type InstanceName = CompactString;
/// `ZoneName` names an availability zone.
pub type ZoneName = CompactString;
/// `RegionName` names a region.
pub type RegionName = CompactString;
/// `ClassName` names a request class within a service policy.
pub type ClassName = CompactString;
/// `LaneName` names a lane within a service policy.
pub type LaneName = CompactString;
/// `PolicyRevision` counts the revisions of one policy record; it only rises.
pub type PolicyRevision = u64;
/// `DocumentVersion` orders the published documents of a fleet; 0 stands for none.
pub type DocumentVersion = u64;
/// `ContentHash` is a hash of the bytes of a record, the same at every node.
pub type ContentHash = u64;
/// `IncarnationId` tells one run of a node from another; drawn at random when a process starts.
pub type IncarnationId = u64;
/// `CallId` numbers a call that a node is serving; unique within an incarnation.
pub type CallId = u64;
/// `CallerHash` is a keyed hash of the opaque caller id.
pub type CallerHash = u64;
