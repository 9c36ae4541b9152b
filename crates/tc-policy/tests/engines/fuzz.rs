//! Any sequence of prompts, news and lists of engines.

use std::collections::BTreeMap;

use bolero::{TypeGenerator, generator::produce};
use tc_policy::EnginePlanner;
use tc_protocol::{UpstreamId, routing::RunProgress};

use crate::common::{ask, at, candidates, ms, spec};

const DOMAINS: [&str; 4] = ["a", "a", "b", "c"];

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Op {
    Choose {
        family: u8,
        own: u16,
        away: u8,
        except: u8,
    },
    News {
        which: u8,
        what: u8,
        took_ms: u8,
    },
    NewsOfNobody(u64),
    Listed(u8),
    Wait(u16),
}

/// Symptom: a request goes to an engine that left, or to one it has tried; an engine counts as full for ever.
/// Sequence: any order of asks, news that come late, twice or never, and engines that leave and come back.
/// Cause: what is counted of runs and engines does not follow them.
#[test]
fn choices_are_among_the_listed_and_nothing_stays_counted() {
    tc_fuzz::check(2_000, produce::<Vec<Op>>(), |ops: &Vec<Op>| {
        let mut planner = EnginePlanner::new(spec());
        let all = candidates(&DOMAINS);
        planner.set_engines(spec(), &all);
        let (mut listed, mut now) = (all.clone(), 0);
        let mut runs: BTreeMap<u64, UpstreamId> = BTreeMap::new();
        for &op in ops {
            match op {
                Op::Choose {
                    family,
                    own,
                    away,
                    except,
                } => {
                    let mut ask = ask(&[
                        (u64::from(family % 8), u32::from(family) * 20),
                        (u64::from(own) + 1_000, u32::from(own)),
                    ]);
                    ask.inputs =
                        vec![(DOMAINS[usize::from(away % 4)].into(), u64::from(away) << 14)];
                    ask.excluded = vec![all[usize::from(except % 4)].id.clone()];
                    let choice = planner.choose(at(now), &ask);
                    let fit = listed
                        .iter()
                        .any(|engine| !ask.excluded.contains(&engine.id));
                    assert_eq!(choice.is_some(), fit);
                    let Some(choice) = choice else { continue };
                    assert!(listed.iter().any(|engine| engine.id == choice.upstream));
                    assert!(!ask.excluded.contains(&choice.upstream));
                    assert_ne!(choice.fetch_from.as_ref(), Some(&choice.upstream));
                    if let Some(source) = &choice.fetch_from {
                        assert!(listed.iter().any(|engine| engine.id == *source));
                    }
                    assert!(runs.insert(choice.run, choice.upstream).is_none());
                }
                Op::News {
                    which,
                    what,
                    took_ms,
                } => {
                    let runs_now: Vec<u64> = runs.keys().copied().collect();
                    let Some(run) = runs_now.get(usize::from(which) % runs_now.len().max(1)) else {
                        continue;
                    };
                    let news = match what % 3 {
                        0 => RunProgress::FirstEvent(ms(u64::from(took_ms))),
                        1 => RunProgress::Ended,
                        _ => RunProgress::Failed,
                    };
                    planner.note(at(now), *run, news);
                    if what % 3 != 0 {
                        runs.remove(run);
                    }
                }
                Op::NewsOfNobody(run) if !runs.contains_key(&run) => {
                    planner.note(at(now), run, RunProgress::Failed);
                }
                Op::NewsOfNobody(_) => {}
                Op::Listed(bits) => {
                    listed = (0..4)
                        .filter(|i| bits >> i & 1 == 1)
                        .map(|i| all[i].clone())
                        .collect();
                    planner.set_engines(spec(), &listed);
                }
                Op::Wait(ms) => now += u64::from(ms),
            }
        }
        planner.set_engines(spec(), &all);
        // Later than any run lasts.
        planner.choose(at(now + 20_000), &ask(&[(1, 10)]));
        assert_eq!(planner.size(), (1, 4));
    });
}
