//! Numbers of the log events; `docs/EVENTS.md` is their catalogue.

/// The node opened its doors.
pub const RELAY_STARTED: u16 = 3001;
/// The node was asked to stop.
pub const RELAY_STOPPING: u16 = 3002;
/// The node is about to end.
pub const RELAY_STOPPED: u16 = 3003;
/// The node became ready, or is not ready any more.
pub const READINESS_CHANGED: u16 = 3004;
/// The settings file was read again.
pub const SETTINGS_RELOADED: u16 = 3005;
/// The settings file cannot be used.
pub const SETTINGS_REFUSED: u16 = 3006;
/// A document is in force.
pub const DOCUMENT_IN_FORCE: u16 = 3101;
/// A document was refused.
pub const DOCUMENT_REFUSED: u16 = 3102;
/// An upstream is listed, or its entry changed.
pub const UPSTREAM_LISTED: u16 = 3103;
/// An upstream is listed no longer.
pub const UPSTREAM_GONE: u16 = 3104;
/// An entry of the list was refused.
pub const ENTRY_REFUSED: u16 = 3105;
/// The store cannot be read.
pub const STORE_LOST: u16 = 3106;
/// The store can be read again.
pub const STORE_RECOVERED: u16 = 3107;
/// A request was refused before it ran.
pub const REQUEST_REFUSED: u16 = 3201;
/// A request got no whole answer.
pub const REQUEST_FAILED: u16 = 3202;
/// A request was sent again.
pub const REQUEST_RETRIED: u16 = 3203;
/// A request was answered.
pub const REQUEST_ANSWERED: u16 = 3204;
/// The caller of a request left.
pub const CALLER_LEFT: u16 = 3205;
/// The upstream gave no whole answer to a request.
pub const UPSTREAM_FAILED: u16 = 3206;
/// A repeat was refused beside the upstream, whose budget of repeats is used up.
pub const RETRY_REFUSED: u16 = 3207;
/// A link to another node was lost.
pub const PEER_LOST: u16 = 3301;
/// A link to another node was made again.
pub const PEER_RECONNECTED: u16 = 3302;
/// The upstream takes no connections.
pub const UPSTREAM_DOWN: u16 = 3402;
/// The upstream takes connections again.
pub const UPSTREAM_UP: u16 = 3403;
/// The upstream answers under another name than the list gives it.
pub const UPSTREAM_RENAMED: u16 = 3404;
/// New requests of a kind are refused, since the calls of such requests fail.
pub const BREAKER_OPENED: u16 = 3405;
/// New requests of a kind run again.
pub const BREAKER_CLOSED: u16 = 3406;
/// A request was in progress at a crash of the upstream.
pub const CRASH_COUNTED: u16 = 3401;
