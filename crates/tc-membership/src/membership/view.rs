//! Comparing the list of members with another instance's, without sending it.

use std::{cmp::Reverse, collections::HashSet};

use rand::seq::SliceRandom;
use tc_protocol::Member;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Membership, Record};

/// Most records in one answer to a comparison of lists: 5 KB, a few milliseconds of a slow link.
const MOST_LACKING: usize = 48;

/// Tells lives of instances apart.
fn life_hash(member: &Member) -> u64 {
    xxh3_64_with_seed(member.id.as_str().as_bytes(), member.incarnation.0)
}

fn short_hash(member: &Member) -> u32 {
    life_hash(member) as u32
}

impl Membership {
    /// A digest of the members that are not dead, for comparing two lists without sending them; never 0.
    #[must_use]
    pub fn view_digest(&self) -> u64 {
        let digest = self
            .live_members()
            .fold(0, |digest, m| digest ^ life_hash(m));
        digest.max(1)
    }

    /// A short hash of each member that is not dead: what another instance needs to know to tell only what is lacking.
    #[must_use]
    pub fn member_hashes(&self) -> Vec<u32> {
        self.live_members().map(short_hash).collect()
    }

    /// What an instance lacks that knows these members: those it does not know, and those of them that are dead; the strongest
    /// first, no more than a few dozen at a time.
    ///
    /// Among hundreds a whole list is 30 KB, and where all start at once a seed with a slow link would tell it to a hundred:
    /// four seconds were seen until the last of 295 knew the others. Cut short, it is a moment, and the rest comes from others
    /// a moment later. Roles are placed by strength, so that those who know the strongest agree on nearly all of them.
    ///
    /// Two members with one hash look like one; of 300 members that is one fleet in 100,000, and probes tell of both.
    pub fn missing_records(&mut self, known: &HashSet<u32>) -> Vec<Record> {
        let others = self.table.entries().map(|(_, e)| &e.record);
        let all = others.chain([&self.me]);
        let lacks =
            |record: &&Record| known.contains(&short_hash(&record.member)) == record.is_dead();
        let mut lacking: Vec<Record> = all.filter(lacks).cloned().collect();
        lacking.shuffle(&mut self.rng);
        lacking.sort_by_key(|record| Reverse(record.member.strength));
        lacking.truncate(MOST_LACKING);
        lacking
    }

    fn live_members(&self) -> impl Iterator<Item = &Member> {
        let live = self.table.live().map(|(_, e)| &e.record.member);
        live.chain([&self.me.member])
    }
}
