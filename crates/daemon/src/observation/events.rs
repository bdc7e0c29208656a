//! Numbers of the log events; `docs/EVENTS.md` is their catalogue.

/// The node opened its doors.
pub const NODE_STARTED: u16 = 1001;
/// A planned stop began.
pub const DRAIN_STARTED: u16 = 1002;
/// A planned stop ended.
pub const DRAIN_FINISHED: u16 = 1003;
/// The node takes work again after a drain.
pub const DRAIN_WITHDRAWN: u16 = 1004;
/// The process woke from a pause.
pub const PROCESS_PAUSED: u16 = 1005;
/// A policy is in force.
pub const POLICY_IN_FORCE: u16 = 2001;
/// A policy record was refused.
pub const POLICY_REFUSED: u16 = 2002;
/// An instance was forgotten.
pub const MEMBER_FORGOTTEN: u16 = 2005;
/// The platform cannot be read.
pub const PLATFORM_UNREACHABLE: u16 = 2003;
/// The platform can be read again.
pub const PLATFORM_REACHABLE: u16 = 2004;
/// A request was in progress at a crash of the upstream.
pub const SUSPECT_COUNTED: u16 = 5001;
/// The upstream takes no connections.
pub const UPSTREAM_DOWN: u16 = 5002;
/// The upstream is up after it was down.
pub const UPSTREAM_COLD_START: u16 = 5003;
