//! Long prompts among short ones, over engines that read them one after the other.

use std::collections::HashMap;

use tc_protocol::{UpstreamId, routing::RunProgress};

use crate::common::{TOKENS_PER_MS, ask, at, choose, ms, planner};

/// Symptom: the longest tenth of the prompts is answered in time only half as often as the others.
/// Sequence: nine engines read 60 tokens a millisecond; 25 prompts come in a second, one in eight of 12,000 tokens or more,
/// of a few families that share 5,000 tokens; a third of all that engines can read.
/// Cause: a family's prompts queue at the engine that keeps what they share, while others have nothing to read.
///
/// The bound: at a third of what nine engines read, a queue for all of them holds a long prompt up in fewer than one case in
/// a hundred; one in twenty-five leaves room for parts that are read for the first time.
#[test]
fn long_prompts_rarely_wait_for_others() {
    let mut planner = planner(&["a", "a", "a", "b", "b", "b", "c", "c", "c"]);
    let mut free_at: HashMap<UpstreamId, u64> = HashMap::new();
    let mut reading: Vec<(u64, u64, u64)> = Vec::new();
    let (mut long, mut waited, mut read_again) = (0, 0, 0);
    let mut kept: HashMap<(UpstreamId, u64), bool> = HashMap::new();
    for number in 0..2_500_u64 {
        let now = 1_000 + number * 40;
        for (_, run, took) in reading.extract_if(.., |(ends, ..)| *ends <= now) {
            planner.note(at(now), run, RunProgress::FirstEvent(ms(took)));
            planner.note(at(now), run, RunProgress::Ended);
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
            &ask(&[(family, shared), (10_000 + number, own as u32)]),
        );
        let here = kept.contains_key(&(choice.upstream.clone(), family));
        let fetched = choice
            .fetch_from
            .is_some_and(|source| kept.contains_key(&(source, family)));
        let tokens = own as u32 + if here || fetched { 0 } else { shared };
        read_again += u32::from(!here && !fetched && kept.keys().any(|(_, f)| *f == family));
        let starts = free_at.get(&choice.upstream).copied().unwrap_or(0).max(now);
        let ends = starts + 20 + u64::from(tokens / TOKENS_PER_MS);
        free_at.insert(choice.upstream.clone(), ends);
        kept.insert((choice.upstream, family), true);
        reading.push((ends, choice.run, ends - now));
        if is_long {
            long += 1;
            waited += u32::from(starts > now + 100);
        }
    }
    assert!(
        waited * 25 <= long,
        "{waited} of {long} long prompts waited"
    );
    assert!(read_again <= 50, "{read_again} times a part was read again");
}
