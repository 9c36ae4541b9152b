//! Long prompts among short ones, on engines that read one prompt at a time.

use std::collections::HashMap;

use tc_policy::EnginePlanner;
use tc_protocol::{UpstreamId, routing::RunProgress};

use crate::common::{TOKENS_PER_MS, at, candidates, choose, ms, planner, read, request, spec};

/// Guards against the longest tenth of the prompts meeting their deadline only half as often as the others, because
/// prompts queue at the engine that has their shared part cached while other engines are idle. Nine engines read 60
/// tokens per millisecond; 25 prompts arrive per second, a third of the engines' capacity. One in eight has 12,000
/// tokens or more and belongs to one of a few families that share 5,000 tokens.
///
/// The bound: at a third of the capacity of nine engines, a single queue for all of them would delay fewer than one
/// long prompt in a hundred; one in twenty-five allows for parts that are read for the first time.
#[test]
fn long_prompts_rarely_wait_behind_others() {
    let mut planner = planner(&["a", "a", "a", "b", "b", "b", "c", "c", "c"]);
    let mut free_at: HashMap<UpstreamId, u64> = HashMap::new();
    let mut reading: Vec<(u64, u64, u64)> = Vec::new();
    let (mut long, mut delayed, mut reread_count) = (0, 0, 0);
    let mut cached: HashMap<(UpstreamId, u64), bool> = HashMap::new();
    for number in 0..2_500_u64 {
        let now = 1_000 + number * 40;
        for (_, run, took) in reading.extract_if(.., |(ends, ..)| *ends <= now) {
            planner.record(at(now), run, RunProgress::FirstEvent(ms(took)));
            planner.record(at(now), run, RunProgress::Ended);
        }
        let is_long = number % 8 == 0;
        let (family, own) = if is_long {
            (number / 8 % 5, 12_000 + (number * 7_919) % 28_000)
        } else {
            (100 + number % 20, 600)
        };
        let shared = if is_long { 5_000 } else { 200 };
        let choice = choose(
            &mut planner,
            at(now),
            &request(&[(family, shared), (10_000 + number, own as u32)]),
        );
        let here = cached.contains_key(&(choice.upstream.clone(), family));
        let fetched = choice
            .fetch_from
            .is_some_and(|source| cached.contains_key(&(source, family)));
        let tokens = own as u32 + if here || fetched { 0 } else { shared };
        reread_count += u32::from(!here && !fetched && cached.keys().any(|(_, f)| *f == family));
        let starts = free_at.get(&choice.upstream).copied().unwrap_or(0).max(now);
        let ends = starts + 20 + u64::from(tokens / TOKENS_PER_MS);
        free_at.insert(choice.upstream.clone(), ends);
        cached.insert((choice.upstream, family), true);
        reading.push((ends, choice.run, ends - now));
        if is_long {
            long += 1;
            delayed += u32::from(starts > now + 100);
        }
    }
    assert!(
        delayed * 25 <= long,
        "{delayed} of {long} long prompts delayed"
    );
    assert!(
        reread_count <= 50,
        "{reread_count} times a part was read again"
    );
}

/// Guards against an engine that gets all short prompts of an idle service, because its first answers were compared
/// with the default estimate and no later run is long enough to correct its slowdown.
///
/// The bound: prompts without a common part are spread by a hash, and of 200 that go to two engines with equal
/// probability, fewer than 50 go to one of them in one case in 10^12.
#[test]
fn idle_engines_share_short_prompts() {
    let mut planner = EnginePlanner::new(spec());
    planner.set_engines(spec(), &candidates(&["a", "a"]));
    let mut counts: HashMap<UpstreamId, u32> = HashMap::new();
    for number in 0..200 {
        let parts = [(number, 500), (1_000 + number, 100)];
        let engine = read(&mut planner, at(number * 100), &request(&parts));
        *counts.entry(engine).or_default() += 1;
    }
    let fewest = counts.values().min().copied().unwrap_or_default();
    assert!(counts.len() == 2 && fewest >= 50, "{counts:?}");
}
