//! Idempotency keys: those that a node offers, which only that node runs, and those that callers
//! make (draft-ietf-httpapi-idempotency-key-header).

use lagoonshore_state::{
    data_type,
    ids::{IncarnationId, InstanceName, ZoneName},
};

use compact_str::CompactString;
use rand::RngCore;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::{fmt, hash::Hasher, time::Duration};
use tokio::time::Instant;

/// Prefix of an offered key, with the version of the text form.
const OFFERED_PREFIX: &str = "lk1";
/// Separator between the parts of an offered key.
const PART_SEPARATOR: char = ':';
/// Maximum length of an accepted key, in bytes.
const KEY_BYTES_MAX: usize = 255;

/// `IdempotencyDigest` identifies an idempotency key in tables; it is a hash under the secret of the incarnation.
pub type IdempotencyDigest = u128;
/// `RequestDigest` identifies the method, path and body of a request.
pub type RequestDigest = u128;

data_type! {
    /// `OfferedKey` is a key offered by one incarnation of a node, the home of the key.
    #[derive(Eq)]
    pub struct OfferedKey {
        /// Availability zone of the home.
        pub zone: ZoneName,
        /// Instance of the home.
        pub instance: InstanceName,
        /// Incarnation of the home.
        pub incarnation: IncarnationId,
        /// Sequence number of the key within the incarnation, from 1.
        pub sequence: u64,
        /// Time of the offer, in milliseconds since the start of the incarnation.
        pub birth: u64,
        /// Message authentication code of the other parts (`SipHash`-2-4) under the secret of the
        /// incarnation.
        pub check: u64,
    }

    /// `IdempotencyKey` is a key received from a caller.
    #[derive(Eq)]
    pub enum IdempotencyKey {
        /// A node offered the key.
        Offered(OfferedKey),
        /// The caller made the key.
        CallerMade(CompactString),
    }
}

/// `KeyOrigin` says which incarnation of which instance offered a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOrigin {
    /// This incarnation offered the key.
    Own,
    /// The key names this incarnation, but its authentication code does not match.
    Forged,
    /// Another incarnation of this instance offered the key.
    OtherIncarnation,
    /// Another instance offered the key.
    OtherInstance,
}

impl IdempotencyKey {
    /// Parses the value of the `idempotency-key` header; `None` if it is empty, longer than 255
    /// bytes, not visible ASCII, or a malformed offered key.
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
    /// Parses the text form; `None` if it is malformed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let parts: Vec<_> = text.split(PART_SEPARATOR).collect();
        let [prefix, zone, instance, incarnation, sequence, birth, check] = parts[..] else {
            return None;
        };
        if prefix != OFFERED_PREFIX {
            return None;
        }
        let parse_hex = |text| u64::from_str_radix(text, 16).ok();
        let key = Self {
            zone: zone.into(),
            instance: instance.into(),
            incarnation: parse_hex(incarnation)?,
            sequence: parse_hex(sequence)?,
            birth: parse_hex(birth)?,
            check: parse_hex(check)?,
        };
        // Only the canonical text form is accepted: the ledger identifies a key by its text, and
        // two forms of one key would be two keys to it.
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

/// `KeyIssuer` offers keys and authenticates them later without storing them.
#[derive(Debug)]
pub struct KeyIssuer {
    zone: ZoneName,
    instance: InstanceName,
    incarnation: IncarnationId,
    started: Instant,
    secret: (u64, u64),
    sequence: u64,
}

impl KeyIssuer {
    /// Creates the issuer of one incarnation that starts at `now`, with a secret from `random`.
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
            started: now,
            secret: (random.next_u64(), random.next_u64()),
            sequence: 0,
        }
    }

    /// Offers a new key.
    pub fn offer(&mut self, now: Instant) -> OfferedKey {
        self.sequence += 1;
        let age = now.saturating_duration_since(self.started);
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

    /// Returns the origin of `key` as seen by this incarnation.
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

    /// Time at which `key`, offered by this incarnation, was offered.
    #[must_use]
    pub fn birth(&self, key: &OfferedKey) -> Instant {
        self.started + Duration::from_millis(key.birth)
    }

    /// Digest of the sequence `parts` under the secret.
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

    /// Number of keys offered.
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
