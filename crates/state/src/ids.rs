//! Type aliases of names and numeric ids.

use compact_str::CompactString;

/// `ServiceName` is the name of a service, such as `medication-log`.
pub type ServiceName = CompactString;
/// `InstanceName` is the name of one upstream instance, unique within the fleet.
pub type InstanceName = CompactString;
/// `ZoneName` is the name of an availability zone.
pub type ZoneName = CompactString;
/// `RegionName` is the name of a region.
pub type RegionName = CompactString;
/// `ClassName` is the name of a request class, unique within a policy.
pub type ClassName = CompactString;
/// `LaneName` is the name of a lane, unique within a policy.
pub type LaneName = CompactString;
/// `AccountName` is the name of a client account, unique within a document.
pub type AccountName = CompactString;
/// `PolicyRevision` is the revision of a policy record, from 1 and strictly increasing.
pub type PolicyRevision = u64;
/// `DocumentVersion` is the version of a fleet's document; 0 means that there is none.
pub type DocumentVersion = u64;
/// `ContentHash` is the hash of a record's bytes, the same at every node.
pub type ContentHash = u64;
/// `IncarnationId` identifies one run of a node's process; drawn at random at start.
pub type IncarnationId = u64;
/// `CallId` identifies a call that a node is serving, unique within an incarnation.
pub type CallId = u64;
/// `CallerHash` is a keyed hash of an opaque caller id.
pub type CallerHash = u64;
