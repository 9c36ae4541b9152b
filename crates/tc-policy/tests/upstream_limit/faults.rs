//! What goes wrong with instances and their views.

use std::time::Duration;

use rand_xoshiro::rand_core::RngCore;

use crate::{judge::CONTACT, world::World};

/// Longest time until an instance takes up a change of the home.
const VIEW_DELAY_MS: u64 = 1_000;
/// Time after which the others notice that a home does not answer, and name another one.
const NOTICE: Duration = Duration::from_millis(1_500);
const RESTART_TIME: Duration = Duration::from_secs(1);

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// Another instance becomes the home, as planned.
    MoveHome,
    KillHome,
    FreezeHome(Duration),
    /// Half of the instances take another instance for the home.
    SplitViews(Duration),
    RestartHalf,
    /// Requests come at so many times the rate.
    Burst(u32),
}

impl World {
    pub(crate) fn strike(&mut self, fault: Fault) {
        let home = self.nodes[0].home;
        let next = (home + 1) % self.nodes.len();
        match fault {
            Fault::MoveHome => self.change_home(next, Duration::ZERO),
            Fault::KillHome => {
                self.restart(home);
                self.change_home(next, NOTICE);
            }
            Fault::FreezeHome(time) => {
                let until = self.now.after(time);
                self.nodes[home].silent_until = until;
                self.nodes[home].excused_until = until.after(CONTACT);
                if time > NOTICE {
                    self.change_home(next, NOTICE);
                }
            }
            Fault::SplitViews(time) => {
                let back = self.now.after(time);
                for node in self.nodes.iter_mut().skip(1).step_by(2) {
                    node.home = next;
                    node.next_home = Some((back, home));
                }
            }
            Fault::RestartHalf => {
                for number in (0..self.nodes.len()).step_by(2) {
                    self.restart(number);
                }
            }
            Fault::Burst(times) => self.burst = times,
        }
    }

    fn change_home(&mut self, home: usize, after: Duration) {
        for node in &mut self.nodes {
            let delay = Duration::from_millis(u64::from(self.rng.next_u32()) % VIEW_DELAY_MS);
            node.next_home = Some((self.now.after(after + delay), home));
        }
    }

    fn restart(&mut self, number: usize) {
        let mut node = self.start(number, self.nodes[number].home);
        node.next_home = self.nodes[number].next_home;
        node.silent_until = self.now.after(RESTART_TIME);
        node.excused_until = node.silent_until.after(CONTACT);
        self.nodes[number] = node;
    }
}
