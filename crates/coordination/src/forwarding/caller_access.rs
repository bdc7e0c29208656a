//! Decides whether a request of a caller may run, by its key.
//!
//! Requests may come with keys that are unknown, withdrawn or missing. The calls of an upstream
//! carry no key; they inherit the account of the running request that makes them. The id of a call
//! proves nothing where that request is not known, because callers choose their ids: such a request is
//! refused, but not for good, since it may be a call that began before the node restarted.

use super::document_proof::DocumentFreshness;

use lagoonshore_state::{
    account::AccountEntry,
    key_digest::KeyDigest,
    route_table::{RouteEntry, RouteTable},
};
use std::rc::Rc;

/// `PresentedKey` is what a request says of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request has no key.
    Absent,
    /// The request has the key with this digest.
    Single(KeyDigest),
    /// The request has several keys, or something that no key can be.
    Unusable,
}

/// `CallParent` says what is known of the request that made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallParent {
    /// The id is not that of a call.
    None,
    /// The id is that of a call of a request that the local upstream is running.
    Running,
    /// The id looks like that of a call, and no such request is running.
    Unknown,
}

/// `AccessRefusal` is the reason why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessRefusal {
    /// No account of the document in force holds the key, or the request has none.
    UnknownKey,
    /// The document in force may have been replaced, so that it says nothing of keys.
    StaleKeys,
    /// The request may be a call, and the request that made it is not known.
    UnknownParent,
}

impl AccessRefusal {
    /// Reason in log lines and in the response.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::UnknownKey => "unknown key",
            Self::StaleKeys => "stale keys",
            Self::UnknownParent => "unknown parent",
        }
    }
}

/// Decides about a request of `route` that is not a call of a running request; returns its account, if
/// it has one. A key is checked on every route, and needed except on those that anyone may use. A document
/// that is not current refuses no key for good, because a newer one may hold it.
///
/// # Errors
/// [`AccessRefusal`] if the request may not run.
pub fn check_key(
    routes: &RouteTable,
    route: &RouteEntry,
    key: PresentedKey,
    parent: CallParent,
    freshness: DocumentFreshness,
) -> Result<Option<Rc<AccountEntry>>, AccessRefusal> {
    if !routes.has_accounts() || parent == CallParent::Running {
        return Ok(None);
    }
    let account = match key {
        PresentedKey::Single(digest) => routes.account_of_key(digest).cloned(),
        PresentedKey::Absent | PresentedKey::Unusable => None,
    };
    let is_keyless = key == PresentedKey::Absent;
    let caller = KnownCaller {
        account,
        is_keyless,
        parent,
    };
    check_caller(caller, route.is_anonymous, freshness)
}

/// `KnownCaller` is what the key and the id of a request say of its caller.
#[derive(Clone, Debug)]
pub struct KnownCaller {
    /// Account that holds the key.
    pub account: Option<Rc<AccountEntry>>,
    /// Whether the request has no key.
    pub is_keyless: bool,
    /// What is known of the request that made it.
    pub parent: CallParent,
}

/// Decides about a request of `caller`, as [`check_key`] does once the account of the key is known; `is_anonymous`
/// says whether anyone may use its route.
///
/// # Errors
/// [`AccessRefusal`] if the request may not run.
pub fn check_caller(
    caller: KnownCaller,
    is_anonymous: bool,
    freshness: DocumentFreshness,
) -> Result<Option<Rc<AccountEntry>>, AccessRefusal> {
    let KnownCaller {
        account,
        is_keyless,
        parent,
    } = caller;
    if is_anonymous && (is_keyless || freshness != DocumentFreshness::Current) {
        return Ok(account);
    }
    match (freshness, account) {
        (DocumentFreshness::Stale, _) => Err(AccessRefusal::StaleKeys),
        (_, Some(account)) => Ok(Some(account)),
        _ if is_keyless && parent == CallParent::Unknown => Err(AccessRefusal::UnknownParent),
        (DocumentFreshness::Aging, None) => Err(AccessRefusal::StaleKeys),
        (DocumentFreshness::Current, None) => Err(AccessRefusal::UnknownKey),
    }
}
