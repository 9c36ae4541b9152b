//! Any sequence of asks, releases, expiries, moves and reports, against a plain list of what should be held.

mod op;
mod oracle;
#[path = "../support/mod.rs"]
mod support;

use bolero::generator::produce;
use op::Op;
use oracle::Oracle;
use support::ms;

/// Inputs that failed once. The first one: a probe of an ejected upstream was started above its slots.
const FAILED_ONCE: [u128; 1] = [161_507_964_733_667_676_772_995_485_985_721_589_684];

fn play(ops: &[Op]) {
    let mut oracle = Oracle::new();
    for &op in ops {
        oracle.apply(op);
        oracle.poll();
        oracle.check();
    }
}

#[test]
fn home_conserves_permits_and_keeps_its_promises() {
    tc_fuzz::check(
        3_000,
        produce::<Vec<Op>>().with().len(0..200_usize),
        |ops| {
            play(ops);
        },
    );
}

/// The same from an upstream that was just ejected, whose slots are few and taken by permits of an earlier home: a series
/// of operations drawn at random comes there once in thousands.
#[test]
fn an_ejected_upstream_keeps_the_same_promises() {
    let input = produce::<(u8, Vec<Op>)>();
    tc_fuzz::check(3_000, input, |(adopted, ops): &(u8, Vec<Op>)| {
        let mut oracle = Oracle::new();
        oracle.eject();
        oracle.apply(Op::Config { slots: 1, queue: 3 });
        for permit in 0..adopted % 4 {
            let (who, expires_in_ms) = (permit, 200);
            oracle.apply(Op::Adopt {
                permit,
                who,
                expires_in_ms,
            });
        }
        for &op in ops {
            oracle.apply(op);
            oracle.poll();
            oracle.check();
            // A probe comes after half a second or more; a drawn wait is a quarter of one.
            oracle.now = oracle.now.after(ms(100));
            oracle.poll();
            oracle.check();
        }
    });
}

#[test]
fn inputs_that_failed_once_hold() {
    let ops = produce::<Vec<Op>>().with().len(0..200_usize);
    tc_fuzz::check_again(&FAILED_ONCE, ops, |ops| play(ops));
}
