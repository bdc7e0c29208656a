//! The open connections of a server. Above their limit, a connection that makes no use of its place is
//! closed for a new one; which one, is decided by `room_sharing`.

use lagoonshore_coordination::protection::{
    room_sharing::{self, HolderStanding, RoomClaim, RoomHolder},
    transfer_progress::TransferProgress,
};
use slotmap::SlotMap;
use std::{
    cell::{Cell, RefCell},
    net::IpAddr,
    rc::Rc,
};
use tokio::{sync::Notify, time::Instant};

slotmap::new_key_type! {
    /// Key of an open connection.
    struct ConnectionKey;
}

/// Connections above the limit that may be open while others are being closed for them.
const CLOSING_MAX: usize = 16;

/// `ConnectionTable` holds the open connections of a server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    places: RefCell<SlotMap<ConnectionKey, Rc<ConnectionPlace>>>,
}

/// `ConnectionPlace` is the place of one connection.
#[derive(Debug)]
pub(crate) struct ConnectionPlace {
    caller: IpAddr,
    activity: Cell<ConnectionActivity>,
    /// Tells the connection to give up its place.
    given_up: Notify,
}

/// `ConnectionActivity` is what a connection does.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ConnectionActivity {
    /// It waits for a request since this time.
    Idle(Instant),
    /// It receives a request.
    Receiving(TransferProgress),
    /// Requests are in progress, or it was told to give up its place.
    Busy,
    /// Responses are being written.
    Writing(TransferProgress),
    /// It discards input before it closes, since this time.
    Closing(Instant),
}

/// Frees the place of a connection when it is dropped.
pub(crate) struct PlaceGuard {
    table: Rc<ConnectionTable>,
    key: ConnectionKey,
    place: Rc<ConnectionPlace>,
}

impl ConnectionTable {
    /// Takes one of `connections_max` places for a connection of `caller`; `None` if all are in use and
    /// none is given up. Returns the address that gave up its place as well, if one did.
    pub(crate) fn take_place(
        self: &Rc<Self>,
        caller: IpAddr,
        connections_max: usize,
    ) -> Option<(PlaceGuard, Option<IpAddr>)> {
        let mut given_up = None;
        let open = self.places.borrow().len();
        if open >= connections_max {
            if open >= connections_max + CLOSING_MAX {
                return None;
            }
            given_up = Some(self.give_up_one(caller)?);
        }
        let place = Rc::new(ConnectionPlace {
            caller,
            activity: Cell::new(ConnectionActivity::Idle(Instant::now())),
            given_up: Notify::new(),
        });
        let key = self.places.borrow_mut().insert(Rc::clone(&place));
        let table = Rc::clone(self);
        Some((PlaceGuard { table, key, place }, given_up))
    }

    /// Makes one connection give up its place for one of `caller`; returns its address.
    fn give_up_one(&self, caller: IpAddr) -> Option<IpAddr> {
        let now = Instant::now();
        let places = self.places.borrow();
        let holders: Vec<RoomHolder<ConnectionKey>> = places
            .iter()
            .map(|(key, place)| RoomHolder {
                key,
                caller: place.caller,
                held: 1,
                standing: place.standing(now),
            })
            .collect();
        let claim = RoomClaim {
            caller: Some(caller),
            missing: 1,
        };
        let chosen = room_sharing::choose_given_up(&holders, claim);
        let place = places.get(*chosen.first()?)?;
        place.activity.set(ConnectionActivity::Busy);
        place.given_up.notify_one();
        Some(place.caller)
    }
}

impl ConnectionPlace {
    /// Records what the connection does.
    pub(crate) fn set(&self, activity: ConnectionActivity) {
        self.activity.set(activity);
    }

    /// Address of the caller.
    pub(crate) const fn caller(&self) -> IpAddr {
        self.caller
    }

    /// Waits until the connection has to give up its place.
    pub(crate) async fn given_up(&self) {
        self.given_up.notified().await;
    }

    fn standing(&self, now: Instant) -> HolderStanding {
        match self.activity.get() {
            ConnectionActivity::Idle(since) => HolderStanding::Idle(since),
            ConnectionActivity::Receiving(progress) => progress
                .slow_since(now)
                .map_or(HolderStanding::Active, HolderStanding::Slow),
            ConnectionActivity::Busy => HolderStanding::Fixed,
            ConnectionActivity::Writing(progress) => progress
                .slow_since(now)
                .map_or(HolderStanding::Fixed, HolderStanding::Slow),
            ConnectionActivity::Closing(since) => HolderStanding::Slow(since),
        }
    }
}

impl PlaceGuard {
    /// The place that is held.
    pub(crate) fn place(&self) -> Rc<ConnectionPlace> {
        Rc::clone(&self.place)
    }
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        self.table.places.borrow_mut().remove(self.key);
    }
}
