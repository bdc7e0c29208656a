//! The memory in which the body of a message is collected while it is read.
//!
//! The capacity is counted, not the length. The body of a request that is arriving from a caller may be
//! given up for others at any time before it is complete; it has not run then.

use crate::{
    arrival_table::{Arrival, ArrivalKey},
    memory_budget::{MemoryBudget, MemoryShare},
};

use bytes::Bytes;
use lagoonshore_coordination::protection::{
    room_sharing::RoomClaim, transfer_progress::TransferProgress,
};
use std::{net::IpAddr, sync::Arc};
use tokio::{sync::Notify, time::Instant};

/// Least capacity of a body of unknown length, in bytes.
const GROWTH_BYTES_MIN: usize = 4 * 1024;
/// Factor by which its capacity grows up to [`LARGE_CAPACITY_BYTES`]. A few sizes far apart leave few gaps
/// between the bodies in the memory of the process.
const GROWTH_FACTOR: usize = 8;
/// Capacity from which it grows by [`LARGE_GROWTH_FACTOR`], in bytes.
const LARGE_CAPACITY_BYTES: usize = 2 * 1024 * 1024;
/// Factor by which a large capacity grows. Others would lose memory that such a body may never need.
const LARGE_GROWTH_FACTOR: usize = 2;

/// `MemoryError` is the reason why a body cannot be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryError {
    /// There is no memory for it.
    Full,
    /// Its memory was given to others.
    GivenUp,
}

/// `BodyMemory` holds the bytes of a body that is being read.
#[derive(Debug)]
pub struct BodyMemory {
    place: BodyPlace,
}

#[derive(Debug)]
enum BodyPlace {
    /// Memory that is kept until the body is complete.
    Kept {
        bytes: Vec<u8>,
        share: Option<MemoryShare>,
    },
    /// Memory that may be given up for others.
    Arriving { body: ArrivingBody, length: usize },
}

/// A body in the table of those that are arriving; dropping it removes the body.
#[derive(Debug)]
struct ArrivingBody {
    budget: MemoryBudget,
    key: ArrivalKey,
}

impl BodyMemory {
    /// Creates memory that is not counted.
    #[must_use]
    pub const fn uncounted() -> Self {
        Self::new(BodyPlace::Kept {
            bytes: Vec::new(),
            share: None,
        })
    }

    /// Creates memory that is counted in `share`.
    #[must_use]
    pub const fn counted(share: MemoryShare) -> Self {
        Self::new(BodyPlace::Kept {
            bytes: Vec::new(),
            share: Some(share),
        })
    }

    /// Creates memory that is counted in `share` and may be given up for others, which is told by
    /// `given_up`.
    #[must_use]
    pub fn arriving(share: MemoryShare, caller: IpAddr, given_up: Arc<Notify>) -> Self {
        let budget = share.budget().clone();
        let arrival = Arrival {
            caller,
            bytes: Vec::new(),
            share,
            progress: TransferProgress::new(Instant::now()),
            given_up,
        };
        let key = budget.arrivals().lock().insert(arrival);
        let body = ArrivingBody { budget, key };
        Self::new(BodyPlace::Arriving { body, length: 0 })
    }

    const fn new(place: BodyPlace) -> Self {
        Self { place }
    }

    /// Bytes of the body so far.
    #[must_use]
    pub const fn len(&self) -> usize {
        match &self.place {
            BodyPlace::Kept { bytes, .. } => bytes.len(),
            BodyPlace::Arriving { length, .. } => *length,
        }
    }

    /// Returns whether there are no bytes yet.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Provides memory for exactly `capacity` bytes.
    ///
    /// # Errors
    /// [`MemoryError`] if there is none, or it was given up before.
    pub fn reserve(&mut self, capacity: usize) -> Result<(), MemoryError> {
        match &mut self.place {
            BodyPlace::Kept { bytes, share } => {
                let is_counted = share.as_mut().is_none_or(|share| share.extend_to(capacity));
                if !is_counted {
                    return Err(MemoryError::Full);
                }
                bytes.reserve_exact(capacity.saturating_sub(bytes.len()));
                Ok(())
            }
            BodyPlace::Arriving { body, .. } => body.reserve(capacity),
        }
    }

    /// Adds at most `added_max` bytes by `write`, which must not write more. The body has `length_max`
    /// bytes at most.
    ///
    /// # Errors
    /// [`MemoryError`] if there is no memory for them, or it was given up before.
    pub fn write_with<R>(
        &mut self,
        added_max: usize,
        length_max: usize,
        write: impl FnOnce(&mut Vec<u8>) -> R,
    ) -> Result<R, MemoryError> {
        let needed = (self.len() + added_max).min(length_max);
        if needed > self.capacity()? {
            self.reserve(self.grown_capacity(needed)?.min(length_max))?;
        }
        match &mut self.place {
            BodyPlace::Kept { bytes, .. } => Ok(write(bytes)),
            BodyPlace::Arriving { body, length } => {
                let mut arrivals = body.budget.arrivals().lock();
                let arrival = arrivals.get_mut(body.key).ok_or(MemoryError::GivenUp)?;
                let written = write(&mut arrival.bytes);
                let added = arrival.bytes.len() - *length;
                *length = arrival.bytes.len();
                let held = arrival.share.bytes();
                arrival.progress.record(Instant::now(), added, held);
                Ok(written)
            }
        }
    }

    /// Keeps the memory of a body that is complete: it is not given up for others any more. Memory that
    /// is counted is reduced to what the body needs.
    ///
    /// # Errors
    /// [`MemoryError::GivenUp`] if it was given up before.
    pub fn keep(&mut self) -> Result<(), MemoryError> {
        if let BodyPlace::Arriving { body, .. } = &self.place {
            let removed = body.budget.arrivals().lock().remove(body.key);
            let Arrival { bytes, share, .. } = removed.ok_or(MemoryError::GivenUp)?;
            self.place = BodyPlace::Kept {
                bytes,
                share: Some(share),
            };
        }
        if let BodyPlace::Kept {
            bytes,
            share: Some(share),
        } = &mut self.place
        {
            bytes.shrink_to_fit();
            share.reduce_to(bytes.len());
        }
        Ok(())
    }

    /// Returns the bytes, which hold their memory for as long as they are in use. There are none if the
    /// memory was given up for others.
    #[must_use]
    pub fn finish(mut self) -> Bytes {
        if self.keep().is_err() {
            return Bytes::new();
        }
        match self.place {
            BodyPlace::Kept {
                bytes,
                share: Some(share),
            } => share.hold(bytes),
            BodyPlace::Kept { bytes, share: None } => Bytes::from(bytes),
            BodyPlace::Arriving { .. } => Bytes::new(),
        }
    }

    fn capacity(&self) -> Result<usize, MemoryError> {
        match &self.place {
            BodyPlace::Kept { bytes, .. } => Ok(bytes.capacity()),
            BodyPlace::Arriving { body, .. } => {
                let arrivals = body.budget.arrivals().lock();
                let arrival = arrivals.get(body.key).ok_or(MemoryError::GivenUp)?;
                Ok(arrival.bytes.capacity())
            }
        }
    }

    /// Capacity for at least `needed` bytes that leaves room to grow.
    fn grown_capacity(&self, needed: usize) -> Result<usize, MemoryError> {
        let capacity = self.capacity()?;
        let grown = (GROWTH_FACTOR * capacity)
            .min(LARGE_CAPACITY_BYTES)
            .max(LARGE_GROWTH_FACTOR * capacity);
        Ok(grown.max(needed).max(GROWTH_BYTES_MIN))
    }
}

impl ArrivingBody {
    fn reserve(&self, capacity: usize) -> Result<(), MemoryError> {
        if let Some(claim) = self.try_reserve(capacity)? {
            let arrivals = self.budget.arrivals();
            if !arrivals.make_room(claim, Some(self.key)) || self.try_reserve(capacity)?.is_some() {
                return Err(MemoryError::Full);
            }
        }
        Ok(())
    }

    /// Reserves memory; returns what is missing if there is not enough.
    fn try_reserve(&self, capacity: usize) -> Result<Option<RoomClaim>, MemoryError> {
        let mut arrivals = self.budget.arrivals().lock();
        let arrival = arrivals.get_mut(self.key).ok_or(MemoryError::GivenUp)?;
        if !arrival.share.try_extend_to(capacity) {
            return Ok(Some(arrival.share.claim(capacity)));
        }
        let added = capacity.saturating_sub(arrival.bytes.len());
        arrival.bytes.reserve_exact(added);
        Ok(None)
    }
}

impl Drop for ArrivingBody {
    fn drop(&mut self) {
        let removed = self.budget.arrivals().lock().remove(self.key);
        drop(removed);
    }
}
