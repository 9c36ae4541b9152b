//! Faults of instances and of their views of the home.

use std::time::Duration;

use rand_xoshiro::rand_core::RngCore;

use crate::{arrivals::SETTLE_TIME, simulation::Simulation};

/// Longest time until an instance learns of a new home.
const MAX_VIEW_DELAY_MS: u64 = 1_000;
/// Time until the other instances detect that a home does not answer and choose another one.
const DETECTION_TIME: Duration = Duration::from_millis(1_500);
const RESTART_TIME: Duration = Duration::from_secs(1);

/// A fault to inject.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The home moves to another instance as planned.
    MoveHome,
    KillHome,
    FreezeHome(Duration),
    /// Half of the instances consider another instance the home.
    SplitViews(Duration),
    RestartHalf,
    /// The request rate is multiplied by this factor.
    Burst(u32),
}

impl Simulation {
    pub(crate) fn inject(&mut self, fault: Fault) {
        let home = self.instances[0].home;
        let next = (home + 1) % self.instances.len();
        match fault {
            Fault::MoveHome => self.change_home(next, Duration::ZERO),
            Fault::KillHome => {
                self.restart(home);
                self.change_home(next, DETECTION_TIME);
            }
            Fault::FreezeHome(time) => {
                let until = self.now.after(time);
                self.instances[home].silent_until = until;
                self.instances[home].uncounted_until = until.after(SETTLE_TIME);
                if time > DETECTION_TIME {
                    self.change_home(next, DETECTION_TIME);
                }
            }
            Fault::SplitViews(time) => {
                let back = self.now.after(time);
                for instance in self.instances.iter_mut().skip(1).step_by(2) {
                    instance.home = next;
                    instance.next_home = Some((back, home));
                }
            }
            Fault::RestartHalf => {
                for number in (0..self.instances.len()).step_by(2) {
                    self.restart(number);
                }
            }
            Fault::Burst(factor) => self.burst = factor,
        }
    }

    fn change_home(&mut self, home: usize, after: Duration) {
        for instance in &mut self.instances {
            let delay = Duration::from_millis(u64::from(self.rng.next_u32()) % MAX_VIEW_DELAY_MS);
            instance.next_home = Some((self.now.after(after + delay), home));
        }
    }

    fn restart(&mut self, number: usize) {
        let mut instance = self.start(number, self.instances[number].home);
        instance.next_home = self.instances[number].next_home;
        instance.silent_until = self.now.after(RESTART_TIME);
        instance.uncounted_until = instance.silent_until.after(SETTLE_TIME);
        self.instances[number] = instance;
    }
}
