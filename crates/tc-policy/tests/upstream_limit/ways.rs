//! Ways to keep a limit over all instances, compared.

use std::time::Duration;

use crate::{
    judge::{CONTACT, allowed, most_in_window},
    world::{Way, World},
};

struct Played {
    most: usize,
    per_s: f64,
}

fn play(way: Way, instances: usize, limit: f64) -> Played {
    let mut world = World::new(way, instances, limit * 4.0 + 20.0, 5);
    world.announce(Some(limit));
    world.run(Duration::from_secs(10));
    let before = world.arrivals.len();
    world.run(Duration::from_secs(20));
    let first = world.first_announced.expect("it was announced");
    Played {
        most: most_in_window(&world.arrivals, first.after(CONTACT), world.now),
        per_s: (world.arrivals.len() - before) as f64 / 20.0,
    }
}

/// Guards against a way that holds among few instances only; prints all of them.
#[test]
fn paced_home_holds_at_every_size() {
    for instances in [8, 80, 300] {
        for limit in [1.0, 5.0, 20.0] {
            for way in [
                Way::HomePaced,
                Way::FewSenders,
                Way::PartEach,
                Way::WholeEach,
            ] {
                let played = play(way, instances, limit);
                println!(
                    "{instances} instances, {limit} per second, {way:?}: {} of {} in a window, {:.2} per second",
                    played.most,
                    allowed(limit),
                    played.per_s
                );
                if way == Way::HomePaced {
                    assert!(played.most <= allowed(limit));
                    assert!(played.per_s >= 0.8 * limit);
                }
            }
        }
    }
}
