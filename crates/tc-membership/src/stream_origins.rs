//! Placement of the origins of streams on instances, and the table of those that an instance keeps.
//!
//! The origin of a stream is needed at any instance to which its caller turns after the one that began the stream is
//! gone. It is soft state that never changes while it is kept, so copies need no agreement: a copy is right or missing.

use std::collections::{BTreeSet, HashMap};

use tc_protocol::{
    FailureDomain, Member, MemberState, MonoTime,
    routing::{OriginRecord, StreamKey},
};

use crate::{placement::min_strength, rendezvous::rendezvous_score};

/// Instances that keep the origin of a stream, besides the one that began it.
const ORIGIN_COPIES: usize = 3;
/// Instances that are asked for the origin of a stream.
const ORIGIN_CANDIDATES: usize = ORIGIN_COPIES + 3;
/// Number of groups. It bounds the number of instances that all others connect to.
const GROUPS: u8 = 8;
/// Maximum number of origins that an instance keeps: a few megabytes.
const MAX_ORIGINS: usize = 16_384;
const HOLDER_ROLE: &str = "stream-origin";

/// Streams whose origins are kept by the same instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OriginGroup(u8);

impl OriginGroup {
    /// Number of groups.
    pub(crate) const COUNT: usize = GROUPS as usize;

    /// Returns the index of the group, below [`Self::COUNT`].
    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns the group of a stream.
    #[must_use]
    pub fn of(key: StreamKey) -> Self {
        Self((key.0 % u128::from(GROUPS)) as u8)
    }

    /// Returns all groups.
    ///
    /// ```
    /// use tc_membership::OriginGroup;
    /// use tc_protocol::routing::StreamKey;
    /// assert!(OriginGroup::all().any(|group| group == OriginGroup::of(StreamKey(77))));
    /// ```
    pub fn all() -> impl Iterator<Item = Self> {
        (0..GROUPS).map(Self)
    }
}

/// Returns the members to which the origins of a group are sent, in as many failure domains as possible.
///
/// ```
/// use tc_membership::{OriginGroup, origin_holders};
/// use tc_protocol::routing::StreamKey;
/// assert!(origin_holders(&[], OriginGroup::of(StreamKey(1))).is_empty());
/// ```
#[must_use]
pub fn origin_holders(members: &[Member], group: OriginGroup) -> Vec<&Member> {
    let answering = in_states(members, &[MemberState::Alive, MemberState::Isolated]);
    ranked_holders(answering, group, ORIGIN_COPIES)
}

/// Returns the members to ask for an origin of a group.
///
/// These are more than keep it: members that joined after the stream began may have taken the first places, and those
/// that are leaving or do not answer at present may still have a copy.
///
/// ```
/// use tc_membership::{OriginGroup, origin_candidates};
/// use tc_protocol::routing::StreamKey;
/// assert!(origin_candidates(&[], OriginGroup::of(StreamKey(1))).is_empty());
/// ```
#[must_use]
pub fn origin_candidates(members: &[Member], group: OriginGroup) -> Vec<&Member> {
    let states = [
        MemberState::Alive,
        MemberState::Isolated,
        MemberState::Suspect,
        MemberState::Leaving,
    ];
    ranked_holders(in_states(members, &states), group, ORIGIN_CANDIDATES)
}

fn in_states<'a>(members: &'a [Member], states: &[MemberState]) -> Vec<&'a Member> {
    let members = members.iter();
    members.filter(|m| states.contains(&m.state)).collect()
}

fn ranked_holders(mut members: Vec<&Member>, group: OriginGroup, count: usize) -> Vec<&Member> {
    let group = group.0.to_string();
    let min_strength = min_strength(&members);
    members.retain(|member| member.strength >= min_strength);
    members.sort_by_cached_key(|member| {
        let score = rendezvous_score(HOLDER_ROLE, &group, member.id.as_str());
        (std::cmp::Reverse(score), member.id.clone())
    });
    spread_over_domains(members, count)
}

/// Takes one member of each failure domain in turn, in the order of `ranked`.
pub(crate) fn spread_over_domains(mut ranked: Vec<&Member>, count: usize) -> Vec<&Member> {
    let mut chosen = Vec::new();
    while !ranked.is_empty() && chosen.len() < count {
        let mut domains: BTreeSet<&FailureDomain> = BTreeSet::new();
        let (round, rest): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|member| domains.insert(&member.failure_domain));
        chosen.extend(round);
        ranked = rest;
    }
    chosen.truncate(count);
    chosen
}

/// The origins that an instance keeps.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    records: HashMap<StreamKey, OriginRecord>,
    by_expiry: BTreeSet<(MonoTime, StreamKey)>,
}

impl OriginTable {
    /// Records an origin and drops the expired ones. If another origin is recorded for the stream, neither can be
    /// relied on.
    pub fn record(&mut self, now: MonoTime, record: OriginRecord) {
        self.remove_expired(now);
        let merged = match self.records.get(&record.key) {
            Some(known) => OriginRecord {
                key: record.key,
                origin: record
                    .origin
                    .filter(|origin| known.origin.as_ref() == Some(origin)),
                began_at: known.began_at.min(record.began_at),
                expires_at: known.expires_at.max(record.expires_at),
            },
            None => record,
        };
        self.remove(merged.key);
        if self.records.len() >= MAX_ORIGINS
            && let Some((_, first)) = self.by_expiry.first().copied()
        {
            self.remove(first);
        }
        self.by_expiry.insert((merged.expires_at, merged.key));
        self.records.insert(merged.key, merged);
    }

    /// Returns what is recorded of a stream.
    #[must_use]
    pub fn get(&self, now: MonoTime, key: StreamKey) -> Option<&OriginRecord> {
        let record = self.records.get(&key)?;
        (record.expires_at > now).then_some(record)
    }

    /// Returns all records that have not expired.
    pub fn iter(&self, now: MonoTime) -> impl Iterator<Item = &OriginRecord> {
        let records = self.records.values();
        records.filter(move |record| record.expires_at > now)
    }

    /// Returns the number of records, including expired ones that are still to be dropped.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn remove_expired(&mut self, now: MonoTime) {
        while let Some((expires_at, key)) = self.by_expiry.first().copied()
            && expires_at <= now
        {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: StreamKey) {
        if let Some(record) = self.records.remove(&key) {
            self.by_expiry.remove(&(record.expires_at, key));
        }
    }
}
