//! The pages of the admin listener, from the parts of a node. They change nothing.

use crate::{
    account_page::{
        AccountLine, AccountList, AccountPage, CallerPart, ProofPart, QuotaPage, ZoneCounter,
    },
    explain_page::ExplainPage,
    node::RelayNode,
    quota::quota_view::HandView,
    state_dump::{AccountView, LISTED_ACCOUNTS_MAX, StateDump},
};

use lagoonshore_state::{
    account::{AccountEntry, AccountQuota},
    route_table::{RouteEntry, RouteTable},
};
use std::rc::Rc;
use tokio::time::Instant;

/// `PageProblem` is the reason why there is no page under a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageProblem {
    /// No route matches the request.
    NoRoute,
    /// The document in force has no accounts.
    NoAccounts,
    /// The document in force has no account of this name.
    UnknownAccount,
}

impl PageProblem {
    /// Text of the problem for operators.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no route",
            Self::NoAccounts => "the document in force has no accounts",
            Self::UnknownAccount => "the document in force has no account of this name",
        }
    }
}

/// `NodePages` creates the pages of a node.
pub struct NodePages {
    node: Rc<RelayNode>,
}

impl NodePages {
    /// Creates the pages of `node`.
    #[must_use]
    pub const fn new(node: Rc<RelayNode>) -> Self {
        Self { node }
    }

    /// Returns the state of the node.
    #[must_use]
    pub fn state(&self) -> StateDump {
        self.node.dump()
    }

    /// Explains where a request would go now that has a key of the account called `account`, or none.
    ///
    /// # Errors
    /// [`PageProblem`] if there is no such route or account.
    pub fn explain(
        &self,
        host: &str,
        target: &str,
        account: Option<&str>,
    ) -> Result<ExplainPage, PageProblem> {
        let routes = self.node.directory.routes();
        let account = match account {
            Some(name) => Some(find_account(&routes, name)?),
            None => None,
        };
        let page = self.node.callers.forwarder().explain(host, target);
        let mut page = page.ok_or(PageProblem::NoRoute)?;
        page.caller = routes
            .has_accounts()
            .then(|| self.caller_part(&routes, &page.route, account));
        Ok(page)
    }

    /// Returns the view of the account called `name`.
    ///
    /// # Errors
    /// [`PageProblem`] if there is no such account.
    pub fn account(&self, name: &str) -> Result<AccountPage, PageProblem> {
        let node = &self.node;
        let routes = node.directory.routes();
        let account = find_account(&routes, name)?;
        Ok(AccountPage {
            node: node.settings.node.clone(),
            zone: node.settings.zone.clone(),
            version: routes.version(),
            account: AccountView::new(account),
            proof: ProofPart::new(&node.directory),
            quota: account.quota.map(|quota| self.quota_page(name, quota)),
            request_now: node.callers.expect(Some(account), false),
        })
    }

    /// Returns the accounts whose names follow `after`, up to a number.
    ///
    /// # Errors
    /// [`PageProblem::NoAccounts`] if callers need no key.
    pub fn accounts(&self, after: &str) -> Result<AccountList, PageProblem> {
        let routes = self.node.directory.routes();
        if !routes.has_accounts() {
            return Err(PageProblem::NoAccounts);
        }
        let accounts = routes.accounts();
        let start = accounts.partition_point(|account| account.name.as_str() <= after);
        let following = &accounts[start..];
        let listed = following.iter().take(LISTED_ACCOUNTS_MAX);
        Ok(AccountList {
            version: routes.version(),
            total: accounts.len(),
            left: following.len().saturating_sub(LISTED_ACCOUNTS_MAX),
            accounts: listed.map(|account| AccountLine::new(account)).collect(),
        })
    }

    fn caller_part(
        &self,
        routes: &RouteTable,
        route: &RouteEntry,
        account: Option<&Rc<AccountEntry>>,
    ) -> CallerPart {
        let node = &self.node;
        CallerPart {
            account: account.map(|account| account.name.clone()),
            importance: routes.importance(route, account.map(Rc::as_ref)),
            proof: ProofPart::new(&node.directory),
            in_hand: account.and_then(|account| self.hand(&account.name)),
            request_now: node.callers.expect(account, route.is_anonymous),
        }
    }

    fn quota_page(&self, account: &str, quota: AccountQuota) -> QuotaPage {
        let (node, now) = (&self.node, Instant::now());
        let fleet = &node.fleet_counters;
        let part = fleet.zone_part(now, quota);
        let counters = fleet.zone_counters(now, account).into_iter();
        let own_address = fleet.own_address();
        QuotaPage {
            zones: fleet.zone_count(now),
            zone_rate: part.rate,
            zone_capacity: part.capacity,
            counters: counters
                .map(|(zone, counter)| ZoneCounter {
                    zone,
                    counter,
                    is_own: counter == own_address,
                })
                .collect(),
            own_counter: node.quota_counters.views(|name| name == account).pop(),
            in_hand: self.hand(account),
        }
    }

    fn hand(&self, account: &str) -> Option<HandView> {
        self.node.quota_gate.views(|name| name == account).pop()
    }
}

fn find_account<'a>(
    routes: &'a RouteTable,
    name: &str,
) -> Result<&'a Rc<AccountEntry>, PageProblem> {
    if !routes.has_accounts() {
        return Err(PageProblem::NoAccounts);
    }
    routes.account(name).ok_or(PageProblem::UnknownAccount)
}
