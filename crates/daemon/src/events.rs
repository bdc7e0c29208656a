//! Numbers of the log events; `docs/EVENTS.md` is their catalogue.

/// The node opened its listeners.
pub const NODE_STARTED: u16 = 1001;
/// A drain started, for the cause in the event.
pub const DRAIN_STARTED: u16 = 1002;
/// A planned stop ended.
pub const DRAIN_FINISHED: u16 = 1003;
/// The last cause of a drain was removed and the node serves again.
pub const DRAIN_CANCELLED: u16 = 1004;
/// The process resumed after a pause.
pub const PROCESS_PAUSED: u16 = 1005;
/// A policy was put in force.
pub const POLICY_IN_FORCE: u16 = 2001;
/// A policy record was refused.
pub const POLICY_REFUSED: u16 = 2002;
/// An instance that the list no longer names stopped answering and was removed.
pub const MEMBER_EXPIRED: u16 = 2005;
/// The platform cannot be read.
pub const PLATFORM_UNREACHABLE: u16 = 2003;
/// The platform can be read again.
pub const PLATFORM_REACHABLE: u16 = 2004;
/// A request was in progress when the upstream crashed.
pub const SUSPECT_RECORDED: u16 = 5001;
/// The upstream refuses connections.
pub const UPSTREAM_DOWN: u16 = 5002;
/// The upstream is up after it was down.
pub const UPSTREAM_COLD_START: u16 = 5003;
