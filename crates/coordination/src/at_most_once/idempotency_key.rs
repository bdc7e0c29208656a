//! Idempotency keys: those that a node offers, bound to it from their birth, and those that
//! callers make (draft-ietf-httpapi-idempotency-key-header).

use lagoonshore_state::{
    data_type,
    ids::{IncarnationId, InstanceName, ZoneName},
};

use compact_str::CompactString;
use rand::RngCore;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::{fmt, hash::Hasher, time::Duration};
use tokio::time::Instant;

/// Prefix of an offered key, with the version of its text form.
const OFFERED_PREFIX: &str = "lk1";
/// Separator between the parts of an offered key.
const PART_SEPARATOR: char = ':';
/// Longest key that is taken, in bytes.
const KEY_BYTES_MAX: usize = 255;

/// `KeyDigest` stands for a key in tables; it is keyed by the secret of the process.
pub type KeyDigest = u128;
/// `RequestDigest` stands for method, path and body of a request.
pub type RequestDigest = u128;

data_type! {
    /// `OfferedKey` is a key that one incarnation of one node, its home, gave out.
    #[derive(Eq)]
    pub struct OfferedKey {
        /// Availability zone of the home.
        pub zone: ZoneName,
        /// Instance of the home.
        pub instance: InstanceName,
        /// Incarnation of the home.
        pub incarnation: IncarnationId,
        /// Number of the key within the incarnation.
        pub sequence: u64,
        /// Milliseconds from the start of the incarnation to the offer.
        pub birth: u64,
        /// Keyed hash of the other parts under the secret of the incarnation.
        pub check: u64,
    }

    /// `IdempotencyKey` is a key as a caller sent it.
    #[derive(Eq)]
    pub enum IdempotencyKey {
        /// A node offered the key.
        Offered(OfferedKey),
        /// The caller made the key.
        CallerMade(CompactString),
    }
}

/// `KeyOrigin` says how an offered key stands to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOrigin {
    /// This incarnation offered the key.
    Own,
    /// The key names this incarnation, which did not offer it.
    Forged,
    /// An earlier or later incarnation of this instance offered the key.
    OtherIncarnation,
    /// Another instance offered the key.
    OtherInstance,
}

impl IdempotencyKey {
    /// Parses the value of the header; `None` if it is empty, too long, not visible ASCII, or a
    /// damaged offered key.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > KEY_BYTES_MAX || !is_visible {
            return None;
        }
        let is_offered = text
            .strip_prefix(OFFERED_PREFIX)
            .is_some_and(|rest| rest.starts_with(PART_SEPARATOR));
        if is_offered {
            return OfferedKey::parse(text).map(Self::Offered);
        }
        Some(Self::CallerMade(text.into()))
    }
}

impl OfferedKey {
    /// Parses the text form; `None` if it is damaged.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let parts: Vec<_> = text.split(PART_SEPARATOR).collect();
        let [prefix, zone, instance, incarnation, sequence, birth, check] = parts[..] else {
            return None;
        };
        if prefix != OFFERED_PREFIX {
            return None;
        }
        let number = |text| u64::from_str_radix(text, 16).ok();
        let key = Self {
            zone: zone.into(),
            instance: instance.into(),
            incarnation: number(incarnation)?,
            sequence: number(sequence)?,
            birth: number(birth)?,
            check: number(check)?,
        };
        // One key has one text form, so that a ledger by text cannot hold it twice.
        (key.to_string() == text).then_some(key)
    }
}

impl fmt::Display for OfferedKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            zone,
            instance,
            incarnation,
            sequence,
            birth,
            check,
        } = self;
        write!(
            formatter,
            "{OFFERED_PREFIX}:{zone}:{instance}:{incarnation:016x}:{sequence:x}:{birth:x}:{check:016x}"
        )
    }
}

/// `KeyIssuer` offers keys and recognises them again without remembering them.
#[derive(Debug)]
pub struct KeyIssuer {
    zone: ZoneName,
    instance: InstanceName,
    incarnation: IncarnationId,
    origin: Instant,
    secret: (u64, u64),
    sequence: u64,
}

impl KeyIssuer {
    /// Creates the issuer of one incarnation; its secret is drawn from `random`.
    pub fn new(
        zone: ZoneName,
        instance: InstanceName,
        incarnation: IncarnationId,
        now: Instant,
        random: &mut dyn RngCore,
    ) -> Self {
        Self {
            zone,
            instance,
            incarnation,
            origin: now,
            secret: (random.next_u64(), random.next_u64()),
            sequence: 0,
        }
    }

    /// Offers a key that was never offered before.
    pub fn offer(&mut self, now: Instant) -> OfferedKey {
        self.sequence += 1;
        let age = now.saturating_duration_since(self.origin);
        let mut key = OfferedKey {
            zone: self.zone.clone(),
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            birth: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            check: 0,
        };
        key.check = self.check(&key);
        key
    }

    /// Tells how `key` stands to this incarnation.
    #[must_use]
    pub fn origin_of(&self, key: &OfferedKey) -> KeyOrigin {
        if key.instance != self.instance {
            KeyOrigin::OtherInstance
        } else if key.incarnation != self.incarnation {
            KeyOrigin::OtherIncarnation
        } else if key.check != self.check(key) {
            KeyOrigin::Forged
        } else {
            KeyOrigin::Own
        }
    }

    /// Time of the offer of an own key.
    #[must_use]
    pub fn birth(&self, key: &OfferedKey) -> Instant {
        self.origin + Duration::from_millis(key.birth)
    }

    /// Digest of `parts`, in their order, under the secret.
    #[must_use]
    pub fn digest(&self, parts: &[&[u8]]) -> u128 {
        let (first, second) = self.secret;
        let mut hasher = SipHasher13::new_with_keys(first, second);
        for part in parts {
            hasher.write_usize(part.len());
            hasher.write(part);
        }
        hasher.finish128().as_u128()
    }

    /// Keys offered so far.
    #[must_use]
    pub const fn offered_count(&self) -> u64 {
        self.sequence
    }

    fn check(&self, key: &OfferedKey) -> u64 {
        let (first, second) = self.secret;
        let mut hasher = siphasher::sip::SipHasher24::new_with_keys(first, second);
        for name in [&key.zone, &key.instance] {
            hasher.write_usize(name.len());
            hasher.write(name.as_bytes());
        }
        for number in [key.incarnation, key.sequence, key.birth] {
            hasher.write_u64(number);
        }
        hasher.finish()
    }
}
