//! Numbers of the log events, catalogued in `docs/EVENTS.md`.

/// The node opened its listeners.
pub const RELAY_STARTED: u16 = 3001;
/// The node received a stop signal and begins to drain.
pub const RELAY_STOPPING: u16 = 3002;
/// The node finished draining; the process is about to exit.
pub const RELAY_STOPPED: u16 = 3003;
/// The result of the readiness check changed.
pub const READINESS_CHANGED: u16 = 3004;
/// The settings file was reloaded.
pub const SETTINGS_RELOADED: u16 = 3005;
/// A reloaded settings file is invalid; the settings in force stay.
pub const SETTINGS_REFUSED: u16 = 3006;
/// A newer document was put in force.
pub const DOCUMENT_IN_FORCE: u16 = 3101;
/// A document is invalid; the one in force stays.
pub const DOCUMENT_REFUSED: u16 = 3102;
/// An upstream was added to the upstream list, or its entry changed.
pub const UPSTREAM_LISTED: u16 = 3103;
/// An upstream was removed from the upstream list.
pub const UPSTREAM_REMOVED: u16 = 3104;
/// An entry of the upstream list is invalid.
pub const ENTRY_REFUSED: u16 = 3105;
/// The store cannot be read any more.
pub const STORE_UNREACHABLE: u16 = 3106;
/// The store can be read again.
pub const STORE_RECOVERED: u16 = 3107;
/// A read of the store failed.
pub const STORE_READ_FAILED: u16 = 3108;
/// An upstream announced its departure in a response.
pub const DEPARTURE_ANNOUNCED: u16 = 3109;
/// An upstream named a limit on the rate of its requests, or another one than before.
pub const LIMIT_CHANGED: u16 = 3110;
/// An upstream named no limit any more.
pub const LIMIT_ENDED: u16 = 3111;
/// An upstream named a limit that is not a valid number.
pub const LIMIT_INVALID: u16 = 3112;
/// A watch of the store was abandoned before its response.
pub const WATCH_ABANDONED: u16 = 3113;
/// A watcher tells this node of changes of the store, or no longer does.
pub const WATCHER_CHANGED: u16 = 3114;
/// The proof of the document in force is too old: requests with keys are refused.
pub const PROOF_STALE: u16 = 3115;
/// The proof of the document in force is new enough again.
pub const PROOF_RENEWED: u16 = 3116;
/// The removal of an upstream is held back.
pub const REMOVAL_HELD: u16 = 3117;
/// A request was refused; it did not run.
pub const REQUEST_REFUSED: u16 = 3201;
/// A request got no complete response; it may have run.
pub const REQUEST_FAILED: u16 = 3202;
/// A request is retried.
pub const REQUEST_RETRIED: u16 = 3203;
/// An upstream answered a request.
pub const REQUEST_ANSWERED: u16 = 3204;
/// The caller of a request disconnected before its response.
pub const CALLER_LEFT: u16 = 3205;
/// The local upstream gave no complete response to a request.
pub const UPSTREAM_FAILED: u16 = 3206;
/// A retry was refused by the node beside the upstream, whose retry budget is exhausted.
pub const RETRY_REFUSED: u16 = 3207;
/// A request was refused before it was read to its end.
pub const REQUEST_UNREAD: u16 = 3208;
/// A new connection was closed at once, since all places are in use.
pub const CONNECTION_REFUSED: u16 = 3209;
/// A connection that was not in use was closed for a new one.
pub const CONNECTION_GIVEN_UP: u16 = 3210;
/// A request was refused for its key.
pub const ACCESS_DENIED: u16 = 3211;
/// A connection was closed, since its caller did not read its responses in time.
pub const CONNECTION_NOT_READ: u16 = 3212;
/// The link to another node was lost.
pub const PEER_LOST: u16 = 3301;
/// The link to another node was re-established.
pub const PEER_RECONNECTED: u16 = 3302;
/// The share of the requests for a service that leaves the availability zone changed notably.
pub const ZONE_SHARE_CHANGED: u16 = 3303;
/// The local upstream refuses connections.
pub const UPSTREAM_DOWN: u16 = 3402;
/// The local upstream accepts connections again.
pub const UPSTREAM_UP: u16 = 3403;
/// The local upstream answers under another name than the upstream list gives it.
pub const UPSTREAM_RENAMED: u16 = 3404;
/// The circuit breaker of a route opened: its new requests are refused because the calls that
/// they make fail.
pub const BREAKER_OPENED: u16 = 3405;
/// The circuit breaker of a route closed: its new requests run again.
pub const BREAKER_CLOSED: u16 = 3406;
/// The local upstream crashed while it ran a request.
pub const CRASH_COUNTED: u16 = 3401;
/// A request was refused because it is quarantined.
pub const REQUEST_QUARANTINED: u16 = 3407;
/// A request runs once after its quarantine.
pub const TRIAL_STARTED: u16 = 3408;
/// A complete run cleared a suspect.
pub const SUSPECT_CLEARED: u16 = 3409;
/// A request was refused for the quota of its account.
pub const QUOTA_REFUSED: u16 = 3501;
/// The counter of an account borrowed tokens from those of other zones.
pub const QUOTA_BORROWED: u16 = 3502;
/// A counter of quotas did not answer.
pub const COUNTER_SILENT: u16 = 3503;
/// The number of zones that hold no part of quotas, since there are too many, has changed.
pub const ZONES_WITHOUT_QUOTAS: u16 = 3504;
