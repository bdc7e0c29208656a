//! Home of a key that a caller made: rendezvous hashing (Thaler and Ravishankar, 1998) over the
//! listed instances. The home runs the key only while no other node can have run it.

use lagoonshore_state::ids::InstanceName;

use siphasher::sip::SipHasher13;
use std::{hash::Hasher, time::Duration};
use tokio::time::Instant;

/// Time for which the instance list must have been unchanged before a node runs keys that callers
/// made. It exceeds the time in which a partitioned node notices that its list is stale, plus the
/// retry window.
pub const HOLD_DOWN_TIME: Duration = Duration::from_mins(2);

/// Returns the home of `key` among `members`; `None` if there are none.
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

/// `KeyHoldDown` records since when the instance list has been unchanged and confirmed by the
/// platform.
#[derive(Debug, Default)]
pub struct KeyHoldDown {
    members: Vec<InstanceName>,
    since: Option<Instant>,
}

impl KeyHoldDown {
    /// Records the instance list at `now`; `is_confirmed` says whether the platform can be read.
    pub fn observe(&mut self, now: Instant, members: Vec<InstanceName>, is_confirmed: bool) {
        if !is_confirmed {
            self.since = None;
        } else if self.since.is_none() || self.members != members {
            self.since = Some(now);
        }
        self.members = members;
    }

    /// Returns whether a key may run here. `birth` is the time at which the key was made, if the
    /// key states it (UUID version 7, RFC 9562): a key made after the hold-down began cannot have
    /// run before it.
    #[must_use]
    pub fn can_run(&self, now: Instant, birth: Option<Instant>) -> bool {
        let Some(since) = self.since else {
            return false;
        };
        now >= since + HOLD_DOWN_TIME || birth.is_some_and(|birth| birth >= since)
    }
}
