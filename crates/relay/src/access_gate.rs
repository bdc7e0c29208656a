//! Lets a request of a caller in by its key, or as a call of the local upstream; see
//! [`caller_access`](lagoonshore_coordination::forwarding::caller_access).

use crate::{
    directory::FleetDirectory,
    http1::credentials::RequestCredentials,
    serving::running_table::{RunningRequest, RunningTable},
};

use lagoonshore_coordination::forwarding::{
    caller_access::{self, AccessRefusal, CallParent, KnownCaller, PresentedKey},
    document_proof::DocumentFreshness,
};
use lagoonshore_state::{
    account::AccountEntry,
    ids::AccountName,
    route_table::{RouteEntry, RouteTable},
    units::RequestImportance,
};
use std::{rc::Rc, time::Duration};

/// Status of a request without a valid key (RFC 9110, section 15.5.2).
pub(crate) const UNAUTHORIZED: u16 = 401;
/// Status of a request that may be let in later.
const UNAVAILABLE: u16 = 503;
/// `Retry-After` of a request that may be a call whose parent is not known.
const PARENT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` of a request during which the document changed.
const CHANGE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Denial of a request whose head was read while its credentials were for the node, and that was handled when
/// they were for the upstream. It would run there without them.
const CREDENTIALS_WITHHELD: AccessDenial = AccessDenial {
    status: UNAVAILABLE,
    retry_after: Some(CHANGE_RETRY_AFTER),
    reason: "document changed",
};

/// `AccessGate` checks the keys of callers.
pub(crate) struct AccessGate {
    call_separator: char,
    directory: Rc<FleetDirectory>,
    running_table: Rc<RunningTable>,
}

/// `AdmittedCaller` is what is known of the caller of a request that was let in.
pub(crate) struct AdmittedCaller {
    /// Running request that makes this call; `None` unless the local upstream makes it.
    pub(crate) parent: Option<RunningRequest>,
    /// Account of the request at the root of the call chain, if it has one.
    pub(crate) account: Option<AccountName>,
    /// Importance of that request.
    pub(crate) importance: RequestImportance,
}

/// `AccessDenial` is the response to a request that was not let in.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AccessDenial {
    /// HTTP status.
    pub(crate) status: u16,
    /// Time after which the request may be let in; `None` if a retry cannot help.
    pub(crate) retry_after: Option<Duration>,
    /// Reason in log lines and in the response.
    pub(crate) reason: &'static str,
}

impl AccessGate {
    pub(crate) const fn new(
        call_separator: char,
        directory: Rc<FleetDirectory>,
        running_table: Rc<RunningTable>,
    ) -> Self {
        Self {
            call_separator,
            directory,
            running_table,
        }
    }

    /// Lets the request `id` of `route` in, which carries `credentials`.
    pub(crate) fn admit(
        &self,
        routes: &RouteTable,
        route: &RouteEntry,
        id: &str,
        credentials: &RequestCredentials,
    ) -> Result<AdmittedCaller, AccessDenial> {
        if credentials.is_withheld && !routes.has_accounts() {
            return Err(CREDENTIALS_WITHHELD);
        }
        let key = credentials.key;
        let parent = self.parent_of(routes, id, key);
        let origin = match parent {
            Some(_) => CallParent::Running,
            None if id.contains(self.call_separator) => CallParent::Unknown,
            None => CallParent::None,
        };
        let freshness = self.freshness(routes);
        let account = caller_access::check_key(routes, route, key, origin, freshness)
            .map_err(|refusal| self.denial(refusal))?;
        if let Some(parent) = parent {
            return Ok(AdmittedCaller {
                account: parent.account.clone(),
                importance: parent.importance,
                parent: Some(parent),
            });
        }
        Ok(AdmittedCaller {
            parent: None,
            importance: routes.importance(route, account.as_deref()),
            account: account.map(|account| account.name.clone()),
        })
    }

    /// Returns whether a new request with a key of `account`, or without one, would be let in now.
    /// `is_anonymous` says whether anyone may use its route.
    pub(crate) fn expect(
        &self,
        account: Option<&Rc<AccountEntry>>,
        is_anonymous: bool,
    ) -> Result<(), AccessDenial> {
        let routes = self.directory.routes();
        if !routes.has_accounts() {
            return Ok(());
        }
        let caller = KnownCaller {
            account: account.cloned(),
            is_keyless: account.is_none(),
            parent: CallParent::None,
        };
        let checked = caller_access::check_caller(caller, is_anonymous, self.freshness(&routes));
        checked.map(|_| ()).map_err(|refusal| self.denial(refusal))
    }

    /// Judges the document in force. Without accounts nothing depends on it.
    fn freshness(&self, routes: &RouteTable) -> DocumentFreshness {
        if routes.has_accounts() {
            self.directory.proofs().freshness()
        } else {
            DocumentFreshness::Current
        }
    }

    fn denial(&self, refusal: AccessRefusal) -> AccessDenial {
        let (status, retry_after) = match refusal {
            AccessRefusal::UnknownKey => (UNAUTHORIZED, None),
            AccessRefusal::StaleKeys => (UNAVAILABLE, self.directory.proofs().retry_after()),
            AccessRefusal::UnknownParent => (UNAVAILABLE, Some(PARENT_RETRY_AFTER)),
        };
        AccessDenial {
            status,
            retry_after,
            reason: refusal.as_str(),
        }
    }

    /// Running request that makes the call `id`. Calls carry no key, so in a fleet with accounts a
    /// request with a key is none, whatever its id.
    fn parent_of(
        &self,
        routes: &RouteTable,
        id: &str,
        key: PresentedKey,
    ) -> Option<RunningRequest> {
        if routes.has_accounts() && key != PresentedKey::Absent {
            return None;
        }
        self.running_table.parent_of(id, self.call_separator)
    }
}
