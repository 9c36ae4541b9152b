//! Comparison of member lists between instances without sending the full lists.

use std::{cmp::Reverse, collections::HashSet};

use rand::seq::SliceRandom;
use tc_protocol::Member;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Membership, Record};

/// Maximum number of records in the reply to a comparison: 5 KB, a few milliseconds on a slow link.
const MAX_MISSING_RECORDS: usize = 48;

/// Hash that differs between incarnations of an instance.
fn member_hash(member: &Member) -> u64 {
    xxh3_64_with_seed(member.id.as_str().as_bytes(), member.incarnation.0)
}

fn short_hash(member: &Member) -> u32 {
    member_hash(member) as u32
}

impl Membership {
    /// Returns a digest of the members that are not dead, used to compare two lists without sending
    /// them. It is never 0.
    #[must_use]
    pub fn view_digest(&self) -> u64 {
        let digest = self
            .live_members()
            .fold(0, |digest, m| digest ^ member_hash(m));
        digest.max(1)
    }

    /// Returns a short hash of each member that is not dead. The hashes tell another instance which
    /// records this one is missing.
    #[must_use]
    pub fn member_hashes(&self) -> Vec<u32> {
        self.live_members().map(short_hash).collect()
    }

    /// Returns records missing from an instance that knows the members with these hashes: members
    /// it does not know, and members it knows that are dead. The strongest come first, at most a
    /// few dozen per call.
    ///
    /// The full list of a fleet of hundreds is 30 KB. When all instances start at once, a seed with
    /// a slow link would send it to a hundred of them; it took four seconds until the last of 295
    /// instances knew the others. A truncated reply is sent in a moment, and the rest arrives from
    /// other instances shortly after. Roles are placed by strength, so instances that know the
    /// strongest members agree on nearly all placements.
    ///
    /// Two members with the same hash look like one. With 300 members this affects one fleet in
    /// 100,000, and probes still announce both.
    pub fn missing_records(&mut self, known: &HashSet<u32>) -> Vec<Record> {
        let others = self.table.entries().map(|(_, e)| &e.record);
        let all = others.chain([&self.me]);
        let is_missing =
            |record: &&Record| known.contains(&short_hash(&record.member)) == record.is_dead();
        let mut missing: Vec<Record> = all.filter(is_missing).cloned().collect();
        missing.shuffle(&mut self.rng);
        missing.sort_by_key(|record| Reverse(record.member.strength));
        missing.truncate(MAX_MISSING_RECORDS);
        missing
    }

    fn live_members(&self) -> impl Iterator<Item = &Member> {
        let live = self.table.live().map(|(_, e)| &e.record.member);
        live.chain([&self.me.member])
    }
}
