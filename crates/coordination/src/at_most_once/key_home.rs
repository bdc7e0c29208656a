//! Which node may run a key that a caller made: rendezvous hashing (Thaler and Ravishankar, 1998)
//! over the listed instances, and only while the node can show that no other could have run it.

use lagoonshore_state::ids::InstanceName;

use siphasher::sip::SipHasher13;
use std::{hash::Hasher, time::Duration};
use tokio::time::Instant;

/// Time for which a node must have seen the same list before it runs keys that callers made. It
/// exceeds the time in which a cut node notices that its list is old, plus the resend window.
pub const KEY_HOLD_TIME: Duration = Duration::from_mins(2);

/// Chooses the home of `key` among `members`.
#[must_use]
pub fn choose<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a InstanceName>,
) -> Option<&'a InstanceName> {
    let score = |member: &InstanceName| {
        let mut hasher = SipHasher13::new();
        hasher.write(member.as_bytes());
        hasher.write_u8(0);
        hasher.write(key.as_bytes());
        (hasher.finish(), member.clone())
    };
    members.into_iter().max_by_key(|member| score(member))
}

/// `KeyHoldDown` tells since when a node has seen the same list of instances, confirmed by the platform.
#[derive(Debug, Default)]
pub struct KeyHoldDown {
    members: Vec<InstanceName>,
    since: Option<Instant>,
}

impl KeyHoldDown {
    /// Notes the list seen `now`; `confirmed` tells whether the platform can be read.
    pub fn observe(&mut self, now: Instant, members: Vec<InstanceName>, confirmed: bool) {
        if !confirmed {
            self.since = None;
        } else if self.since.is_none() || self.members != members {
            self.since = Some(now);
        }
        self.members = members;
    }

    /// Tells whether a key may run here. `birth` is the time of a key that tells it (RFC 9562,
    /// UUID version 7): one made within the hold cannot have run before it.
    #[must_use]
    pub fn can_run(&self, now: Instant, birth: Option<Instant>) -> bool {
        let Some(since) = self.since else {
            return false;
        };
        now >= since + KEY_HOLD_TIME || birth.is_some_and(|birth| birth >= since)
    }
}
