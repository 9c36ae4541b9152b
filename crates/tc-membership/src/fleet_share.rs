//! This instance's equal part of an allowance that holds over the whole fleet.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tc_protocol::{Member, MemberState, MonoTime};

/// Time after which an instance that has found the fleet is known to all others that it can reach.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);
/// Time for which an instance that is no longer seen counts as one that may be running. It may be on the other side of a
/// partition, or suspended, and use its part.
const MAX_UNSEEN: Duration = Duration::from_mins(10);

/// Number of instances that may be running, as one of them reports it to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of instances.
    pub instances: usize,
    /// Time for which the number is still to be assumed.
    pub valid_for: Duration,
}

/// Counts the instances that may be running, and divides an allowance among them.
///
/// The parts of all instances add up to at most one although nobody coordinates them. An instance without a part is
/// one that has started less than the settling time ago, so that the others have reduced their parts before it gets
/// one, or that has found none of the instances it was told of.
///
/// Instances report the largest number that they know to each other. One that starts during a partition would
/// otherwise count its own side only, as the members on the other side are forgotten after a minute.
///
/// ```
/// use std::time::Duration;
/// use tc_membership::FleetShare;
/// use tc_protocol::{Incarnation, Member, MemberState, MonoTime};
/// let member = |port: u16, state| Member {
///     id: port.to_string().as_str().into(),
///     incarnation: Incarnation(1),
///     caller_address: ([127, 0, 0, 1], port).into(),
///     fleet_address: ([127, 0, 0, 1], port + 1).into(),
///     failure_domain: "kl-a".into(),
///     region: "kl".into(),
///     state,
///     strength: Member::default_strength(),
/// };
/// let start = MonoTime::from_millis(1);
/// let me = member(7000, MemberState::Alive);
/// let mut share = FleetShare::new(start, me.fleet_address, &[]);
/// share.observe(start, &[me.clone(), member(8000, MemberState::Alive)]);
/// assert_eq!(share.part(start), 0.0);
/// let later = start.after(Duration::from_secs(3));
/// share.observe(later, &[me, member(8000, MemberState::Dead)]);
/// assert_eq!(share.part(later), 0.5, "the other instance may only be unreachable");
/// ```
#[derive(Clone, Debug)]
pub struct FleetShare {
    me: SocketAddr,
    /// When each instance that may be running was last seen. A process that starts again at the same address takes the
    /// place of the one before it.
    last_seen: HashMap<SocketAddr, MonoTime>,
    /// When the first other instance was found, or this one started if it was told of none.
    found_fleet: Option<MonoTime>,
    assumed: AssumedSize,
}

/// A number of instances and the time until which it is assumed. A larger number is greater, whenever it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AssumedSize {
    instances: usize,
    valid_until: MonoTime,
}

impl FleetShare {
    /// Creates the share of the instance at `me`, which starts now and has been told of others at `seeds`.
    #[must_use]
    pub fn new(now: MonoTime, me: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let last_seen: HashMap<_, _> = seeds.iter().chain([&me]).map(|at| (*at, now)).collect();
        let knows_of_others = last_seen.len() > 1;
        Self {
            me,
            assumed: AssumedSize {
                instances: last_seen.len(),
                valid_until: now.after(MAX_UNSEEN),
            },
            last_seen,
            found_fleet: (!knows_of_others).then_some(now),
        }
    }

    /// Records the current members, as this instance sees them.
    pub fn observe(&mut self, now: MonoTime, members: &[Member]) {
        for member in members {
            let seen = self.last_seen.entry(member.fleet_address).or_insert(now);
            if member.state == MemberState::Dead {
                continue;
            }
            *seen = now;
            if member.fleet_address != self.me {
                self.found_fleet = self.found_fleet.or(Some(now));
            }
        }
        self.last_seen.insert(self.me, now);
        self.last_seen
            .retain(|_, seen| now.since(*seen) < MAX_UNSEEN);
        let seen = AssumedSize {
            instances: self.last_seen.len(),
            valid_until: now.after(MAX_UNSEEN),
        };
        if now >= self.assumed.valid_until {
            self.assumed = seen;
        }
        self.assumed = self.assumed.max(seen);
    }

    /// Records the number that another instance reports.
    pub fn record_report(&mut self, now: MonoTime, reported: FleetSize) {
        let reported = AssumedSize {
            instances: reported.instances,
            valid_until: now.after(reported.valid_for.min(MAX_UNSEEN)),
        };
        self.assumed = self.assumed.max(reported);
    }

    /// Returns the number to report to other instances.
    #[must_use]
    pub fn size(&self, now: MonoTime) -> FleetSize {
        FleetSize {
            instances: self.assumed.instances,
            valid_for: self.assumed.valid_until.since(now),
        }
    }

    /// Returns the number of instances that may be running, including this one.
    #[must_use]
    pub const fn instances(&self) -> usize {
        self.assumed.instances
    }

    /// Returns the part of this instance, from 0 to 1.
    #[must_use]
    pub fn part(&self, now: MonoTime) -> f64 {
        match self.found_fleet {
            Some(found) if now.since(found) >= SETTLING_TIME => 1.0 / self.instances() as f64,
            _ => 0.0,
        }
    }
}
