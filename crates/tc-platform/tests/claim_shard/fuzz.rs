//! Stateful fuzz test of the claim shard: several writers, a faulty store, and an oracle.
//!
//! A key runs at most once. A resend gets the recorded outcome. A key that never ran can be claimed
//! again, unless the process that claimed it died. After a writer has become idle, none of its
//! writes takes effect.

use std::time::Duration;

use bolero::TypeGenerator;

use crate::{
    fake_store::{DelayedWrite, WriteFault},
    simulation::Simulation,
};

const KEYS: u8 = 12;
const WRITERS: u32 = 3;
/// Limits the total time that passes in one input, so that no claim expires.
const MAX_TIME_ADVANCES: usize = 6;
const TIME_STEP: Duration = Duration::from_mins(9);

#[derive(Clone, Debug, TypeGenerator)]
enum Action {
    Claim { writer: u8, key: u8 },
    ClaimOtherBody { writer: u8, key: u8 },
    Record { writer: u8 },
    Abandon { writer: u8 },
    HalfSteps { writer: u8, count: u8 },
    FewHalfSteps { writer: u8, count: u8 },
    NextWrite(WriteFault),
    DeliverDelayed { which: u8 },
    DropDelayed { which: u8 },
    Down,
    Up,
    Restart { writer: u8 },
    AdvanceTime,
}

fn run(actions: &[Action]) {
    let mut sim = Simulation::new(WRITERS);
    let mut time_advances = 0;
    for action in actions {
        match *action {
            Action::Claim { writer, key } => sim.claim(writer, key % KEYS, 1),
            Action::ClaimOtherBody { writer, key } => sim.claim(writer, key % KEYS, 2),
            Action::Record { writer } => sim.record(writer),
            Action::Abandon { writer } => sim.abandon(writer),
            Action::HalfSteps { writer, count } => half_steps(&mut sim, writer, count % 24),
            Action::FewHalfSteps { writer, count } => half_steps(&mut sim, writer, count % 4),
            Action::NextWrite(fault) => sim.store.next_write = Some(fault),
            Action::DeliverDelayed { which } => {
                if let Some(delayed) = take_delayed(&mut sim, which) {
                    sim.store.deliver(delayed);
                }
            }
            Action::DropDelayed { which } => drop(take_delayed(&mut sim, which)),
            Action::Down => sim.store.is_down = true,
            Action::Up => sim.store.is_down = false,
            Action::Restart { writer } => sim.restart(writer),
            Action::AdvanceTime if time_advances < MAX_TIME_ADVANCES => {
                time_advances += 1;
                sim.advance_time(TIME_STEP);
            }
            Action::AdvanceTime => {}
        }
    }
    sim.check_final_state();
}

fn half_steps(sim: &mut Simulation, writer: u8, count: u8) {
    for _ in 0..count {
        sim.half_step(writer);
    }
}

fn take_delayed(sim: &mut Simulation, which: u8) -> Option<DelayedWrite> {
    let delayed = &mut sim.store.delayed;
    let at = usize::from(which).checked_rem(delayed.len())?;
    Some(delayed.remove(at))
}

#[test]
fn no_key_runs_twice_and_outcomes_stay() {
    let actions = bolero::produce::<Vec<Action>>().with().len(1..=160usize);
    tc_fuzz::check(4_000, actions, |actions| run(actions));
}
