//! Stateful fuzzing of the claim shard: several writers, a faulty store, and an oracle.
//!
//! A key runs at most once, ever. A recorded outcome is what a resend gets. A key that never ran can be claimed
//! again, unless the process that claimed it died. No write takes effect after its writer has settled it.

use std::time::Duration;

use bolero::TypeGenerator;

use crate::{
    fake_store::{LateWrite, WriteFault},
    world::World,
};

const KEYS: u8 = 12;
const WRITERS: u32 = 3;
/// Longest time all passes of one input take together: no claim expires.
const MAX_PASSES: usize = 6;
const PASS: Duration = Duration::from_mins(9);

#[derive(Clone, Debug, TypeGenerator)]
enum Action {
    Claim { writer: u8, key: u8 },
    ClaimOtherBody { writer: u8, key: u8 },
    Record { writer: u8 },
    Leave { writer: u8 },
    HalfSteps { writer: u8, count: u8 },
    FewHalfSteps { writer: u8, count: u8 },
    NextWrite(WriteFault),
    DeliverLate { which: u8 },
    LoseLate { which: u8 },
    Down,
    Up,
    Restart { writer: u8 },
    Pass,
}

fn run(actions: &[Action]) {
    let mut world = World::new(WRITERS);
    let mut passes = 0;
    for action in actions {
        match *action {
            Action::Claim { writer, key } => world.claim(writer, key % KEYS, 1),
            Action::ClaimOtherBody { writer, key } => world.claim(writer, key % KEYS, 2),
            Action::Record { writer } => world.record(writer),
            Action::Leave { writer } => world.leave(writer),
            Action::HalfSteps { writer, count } => half_steps(&mut world, writer, count % 24),
            Action::FewHalfSteps { writer, count } => half_steps(&mut world, writer, count % 4),
            Action::NextWrite(fault) => world.store.next_write = Some(fault),
            Action::DeliverLate { which } => {
                if let Some(late) = take_late(&mut world, which) {
                    world.store.deliver(late);
                }
            }
            Action::LoseLate { which } => drop(take_late(&mut world, which)),
            Action::Down => world.store.is_down = true,
            Action::Up => world.store.is_down = false,
            Action::Restart { writer } => world.restart(writer),
            Action::Pass if passes < MAX_PASSES => {
                passes += 1;
                world.pass(PASS);
            }
            Action::Pass => {}
        }
    }
    world.finish();
}

fn half_steps(world: &mut World, writer: u8, count: u8) {
    for _ in 0..count {
        world.half_step(writer);
    }
}

fn take_late(world: &mut World, which: u8) -> Option<LateWrite> {
    let late = &mut world.store.late;
    let at = usize::from(which).checked_rem(late.len())?;
    Some(late.remove(at))
}

#[test]
fn no_key_runs_twice_and_outcomes_stay() {
    let actions = bolero::produce::<Vec<Action>>().with().len(1..=160usize);
    tc_fuzz::check(4_000, actions, |actions| run(actions));
}
