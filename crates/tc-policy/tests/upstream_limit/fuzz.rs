//! Random faults, limits and times.

use std::time::Duration;

use bolero::{TypeGenerator, generator::produce};

use crate::{
    arrivals::{SETTLE_TIME, max_per_window, peak_in_window},
    faults::Fault,
    simulation::{Simulation, Strategy},
};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Op {
    MoveHome,
    KillHome,
    FreezeHome,
    SplitViews,
    RestartHalf,
    Burst,
    Wait,
}

#[derive(Clone, Debug, TypeGenerator)]
struct Input {
    seed: u64,
    instances: u8,
    limit: u8,
    ops: [Op; 3],
}

impl Op {
    fn fault(self) -> Option<Fault> {
        match self {
            Self::MoveHome => Some(Fault::MoveHome),
            Self::KillHome => Some(Fault::KillHome),
            Self::FreezeHome => Some(Fault::FreezeHome(Duration::from_secs(2))),
            Self::SplitViews => Some(Fault::SplitViews(Duration::from_secs(1))),
            Self::RestartHalf => Some(Fault::RestartHalf),
            Self::Burst => Some(Fault::Burst(3)),
            Self::Wait => None,
        }
    }
}

/// Guards against exceeding the limit under sequences of faults that the scenarios do not cover.
#[test]
fn limit_holds_through_any_faults() {
    tc_fuzz::check(400, produce::<Input>(), |input| {
        let instances = 2 + usize::from(input.instances % 7);
        let limit = f64::from(1 + input.limit % 40) / 4.0;
        let mut simulation = Simulation::new(
            Strategy::HomePaced,
            instances,
            limit * 4.0 + 20.0,
            input.seed,
        );
        simulation.announce(Some(limit));
        simulation.run(Duration::from_secs(4));
        for op in input.ops {
            if let Some(fault) = op.fault() {
                simulation.inject(fault);
            }
            simulation.run(Duration::from_secs(4));
        }
        let first = simulation.first_announced.expect("it was announced");
        let peak = peak_in_window(
            &simulation.arrivals,
            first.after(SETTLE_TIME),
            simulation.now,
        );
        assert!(
            peak <= max_per_window(limit),
            "{peak} of {}",
            max_per_window(limit)
        );
    });
}
