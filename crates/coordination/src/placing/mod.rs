//! Places requests on instances by expected completion, and decides which of them leave the
//! availability zone of the sender.

pub mod candidate_table;
pub mod completion;
pub mod explanation;
pub mod link_delays;
pub mod urgency;
pub mod weighted_draw;
pub mod work_times;
pub mod zone_share;

use candidate_table::{CandidateTable, ScoredCandidate};
use explanation::{CandidateExplanation, PlacingExplanation};
use link_delays::LinkDelays;
use urgency::{RequestTime, RequestUrgency};
use work_times::WorkTimes;
use zone_share::{OTHER_LOAD_MAX, ZoneBalance, ZoneShare};

use crate::{forwarding::slot_queue::RouteId, routing::candidate_choice::PeerCandidate};

use lagoonshore_state::{
    id_type,
    ids::{ServiceName, ZoneName},
    instance_table::InstanceKey,
};
use rand::{Rng, RngCore};
use slotmap::SecondaryMap;
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

id_type! {
    /// `ZoneReason` says why a request stays in the zone of the sender or leaves it.
    #[serde(rename_all = "kebab-case")]
    pub enum ZoneReason {
        /// The own zone has an instance for it.
        OwnZone,
        /// It belongs to the share that leaves because the own zone is nearly full.
        Share,
        /// An instance of the own zone refused it for overload, and the others are full.
        Overflow,
        /// The own zone has no healthy instance left to try.
        NoInstance,
    }
}

/// `PlacingRequest` is what the choice of an instance depends on.
#[derive(Clone, Copy, Debug)]
pub struct PlacingRequest<'a> {
    /// Service that is called.
    pub service: &'a str,
    /// Route of the request.
    pub route: RouteId,
    /// Time that the request has.
    pub time: RequestTime,
    /// Instances that must not be chosen, since they were tried.
    pub tried: &'a [InstanceKey],
    /// Whether one of them refused the request for overload.
    pub is_refused: bool,
}

/// `Placement` is the instance chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Key of the instance.
    pub key: InstanceKey,
    /// Why the request stays in the zone or leaves it.
    pub reason: ZoneReason,
    /// Urgency by which the instance was chosen among its zone's.
    pub urgency: RequestUrgency,
    /// Share of the service's requests that leaves the zone, if it has changed notably.
    pub changed_share: Option<f64>,
}

/// `ReplyTimes` holds the times that belong to one reply.
#[derive(Clone, Copy, Debug)]
pub struct ReplyTimes {
    /// Mean time of the latest runs of the route at the instance; `None` if it has none.
    pub work: Option<Duration>,
    /// Mean time for which a request holds a slot of the instance.
    pub hold: Duration,
    /// Time from the sending of the request to the reply, less the time at the instance and its
    /// node.
    pub link: Duration,
}

/// `InstancePlacer` chooses instances by expected completion.
#[derive(Debug)]
pub struct InstancePlacer {
    zone: ZoneName,
    leave_cost: Duration,
    work_times: WorkTimes,
    hold_seconds: SecondaryMap<InstanceKey, f64>,
    links: LinkDelays,
    shares: HashMap<ServiceName, ZoneShare>,
    table: CandidateTable,
}

impl InstancePlacer {
    /// Creates a placer for a node in `zone`; `leave_cost` is the time that leaving it has to save.
    #[must_use]
    pub fn new(zone: ZoneName, leave_cost: Duration) -> Self {
        Self {
            zone,
            leave_cost,
            work_times: WorkTimes::default(),
            hold_seconds: SecondaryMap::new(),
            links: LinkDelays::default(),
            shares: HashMap::new(),
            table: CandidateTable::default(),
        }
    }

    /// Sets the time that leaving the zone has to save.
    pub const fn set_leave_cost(&mut self, leave_cost: Duration) {
        self.leave_cost = leave_cost;
    }

    /// Records the times of a reply of an instance in `zone`.
    pub fn record_reply(
        &mut self,
        now: Instant,
        key: InstanceKey,
        zone: &ZoneName,
        route: RouteId,
        times: ReplyTimes,
    ) {
        if let Some(work) = times.work {
            self.work_times.record(now, key, route, work);
        }
        if !times.hold.is_zero() {
            self.hold_seconds.insert(key, times.hold.as_secs_f64());
        }
        if *zone != self.zone {
            self.links.record(now, zone, times.link);
        }
    }

    /// Returns the share of the requests for `service` that leaves the zone.
    #[must_use]
    pub fn zone_share(&self, service: &str) -> f64 {
        self.shares.get(service).map_or(0.0, ZoneShare::share)
    }

    /// Returns the services of which a share leaves the zone, with the share.
    pub fn zone_shares(&self) -> impl Iterator<Item = (&ServiceName, f64)> {
        let shares = self.shares.iter();
        let shares = shares.map(|(service, share)| (service, share.share()));
        shares.filter(|(_, share)| *share > 0.0)
    }

    /// Chooses the instance for a request among `candidates`. Those in degraded zones are chosen only
    /// if there is no other; if none is healthy, any of them is.
    pub fn place<'a>(
        &mut self,
        now: Instant,
        request: &PlacingRequest<'_>,
        candidates: impl Iterator<Item = PeerCandidate<'a>>,
        is_degraded: impl Fn(&str) -> bool,
        random: &mut dyn RngCore,
    ) -> Option<Placement> {
        self.collect(now, request, candidates, is_degraded);
        let urgency = request.time.urgency(self.table.mean_work_seconds());
        if !self.table.has_healthy() {
            self.table.prepare_draws(|_| true);
            let chosen = self.table.draw(random)?;
            return Some(Placement {
                key: chosen.key,
                reason: ZoneReason::NoInstance,
                urgency,
                changed_share: None,
            });
        }
        let reason = self.choose_zone(now, request, random);
        let is_own_zone = reason == ZoneReason::OwnZone;
        self.table.prepare_draws(|candidate| {
            candidate.is_healthy && candidate.is_own_zone == is_own_zone
        });
        let key = weighted_draw::choose(&self.table, &request.time, urgency, random)?;
        let changed_share = self.shares.get_mut(request.service)?.take_change();
        Some(Placement {
            key,
            reason,
            urgency,
            changed_share,
        })
    }

    fn collect<'a>(
        &mut self,
        now: Instant,
        request: &PlacingRequest<'_>,
        candidates: impl Iterator<Item = PeerCandidate<'a>>,
        is_degraded: impl Fn(&str) -> bool,
    ) {
        let times = self.work_times.of_route(request.route);
        self.table.clear();
        for candidate in candidates {
            if request.tried.contains(&candidate.key) {
                continue;
            }
            let zone = &candidate.record.zone;
            let is_own_zone = *zone == self.zone;
            let mut scored = ScoredCandidate::new(now, &candidate, is_own_zone);
            scored.is_healthy &= !is_degraded(zone);
            scored.work_seconds = times.and_then(|times| times.seconds(now, candidate.key));
            scored.hold_seconds = self.hold_seconds.get(candidate.key).copied();
            if !is_own_zone {
                scored.link_seconds = self.links.seconds(now, zone);
            }
            self.table.push(scored);
        }
        self.table.score();
    }

    /// Explains how an instance would be chosen for a request now, and changes nothing.
    pub fn explain<'a>(
        &mut self,
        now: Instant,
        request: &PlacingRequest<'_>,
        candidates: impl Iterator<Item = PeerCandidate<'a>>,
        is_degraded: impl Fn(&str) -> bool,
    ) -> PlacingExplanation {
        self.collect(now, request, candidates, is_degraded);
        let balance = self.table.balance();
        let reason = self.zone_reason(request, &balance, false);
        let candidates = self.table.candidates().iter();
        let has_healthy = self.table.has_healthy();
        let is_own_zone = reason == ZoneReason::OwnZone;
        let is_eligible = |candidate: &ScoredCandidate| {
            !has_healthy || (candidate.is_healthy && candidate.is_own_zone == is_own_zone)
        };
        PlacingExplanation {
            urgency: request.time.urgency(self.table.mean_work_seconds()),
            reason,
            zone_share: self.zone_share(request.service),
            balance,
            candidates: candidates
                .map(|candidate| CandidateExplanation::new(candidate, is_eligible(candidate)))
                .collect(),
        }
    }

    /// Decides whether a request leaves the zone, and adapts the share that does.
    fn choose_zone(
        &mut self,
        now: Instant,
        request: &PlacingRequest<'_>,
        random: &mut dyn RngCore,
    ) -> ZoneReason {
        let balance = self.table.balance();
        let share = self.step_share(now, request.service, &balance);
        let is_in_share = share > 0.0 && random.random_bool(share);
        self.zone_reason(request, &balance, is_in_share)
    }

    /// Decides whether a request leaves the zone; `is_in_share` says whether it belongs to the share
    /// that does.
    fn zone_reason(
        &self,
        request: &PlacingRequest<'_>,
        balance: &ZoneBalance,
        is_in_share: bool,
    ) -> ZoneReason {
        if !self.table.has_healthy_in_zone() {
            return ZoneReason::NoInstance;
        }
        let Some(other_load) = balance.other_load else {
            return ZoneReason::OwnZone;
        };
        // While a call waits, it holds the slot of the request that made it.
        let is_loaded = self
            .shares
            .get(request.service)
            .is_some_and(ZoneShare::is_loaded);
        let must_not_wait = request.is_refused || (request.time.is_nested && is_loaded);
        if must_not_wait && other_load < OTHER_LOAD_MAX && !self.table.has_free_slot_in_zone() {
            return ZoneReason::Overflow;
        }
        if is_in_share {
            return ZoneReason::Share;
        }
        ZoneReason::OwnZone
    }

    fn step_share(&mut self, now: Instant, service: &str, balance: &ZoneBalance) -> f64 {
        if let Some(share) = self.shares.get_mut(service) {
            share.step(now, balance, self.leave_cost);
            return share.share();
        }
        self.shares.insert(service.into(), ZoneShare::new(now));
        0.0
    }
}
