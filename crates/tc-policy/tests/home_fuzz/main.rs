//! Runs random sequences of requests, releases, expiries, adoptions and reports against a simple model of the home.

mod op;
mod oracle;
#[path = "../support/mod.rs"]
mod support;

use bolero::generator::produce;
use op::Op;
use oracle::Oracle;
use support::ms;

/// Inputs that failed in the past. First: a probe of an ejected upstream started although all slots were taken.
const REGRESSIONS: [u128; 1] = [161_507_964_733_667_676_772_995_485_985_721_589_684];

fn run(ops: &[Op]) {
    let mut oracle = Oracle::new();
    for &op in ops {
        oracle.apply(op);
        oracle.poll();
        oracle.check();
    }
}

#[test]
fn home_matches_the_oracle() {
    tc_fuzz::check(
        3_000,
        produce::<Vec<Op>>().with().len(0..200_usize),
        |ops| {
            run(ops);
        },
    );
}

/// Starts from an upstream that was just ejected and whose few slots are taken by permits of an earlier home. Random
/// sequences of operations reach this state only once in thousands of runs.
#[test]
fn home_of_an_ejected_upstream_matches_the_oracle() {
    let input = produce::<(u8, Vec<Op>)>();
    tc_fuzz::check(3_000, input, |(adopted, ops): &(u8, Vec<Op>)| {
        let mut oracle = Oracle::new();
        oracle.eject();
        oracle.apply(Op::SetConfig { slots: 1, queue: 3 });
        for permit in 0..adopted % 4 {
            let (requester, expires_in_ms) = (permit, 200);
            oracle.apply(Op::Adopt {
                permit,
                requester,
                expires_in_ms,
            });
        }
        for &op in ops {
            oracle.apply(op);
            oracle.poll();
            oracle.check();
            // The first probe is due after at least 500 ms, but a random wait lasts at most 255 ms.
            oracle.now = oracle.now.after(ms(100));
            oracle.poll();
            oracle.check();
        }
    });
}

#[test]
fn regression_inputs_pass() {
    let ops = produce::<Vec<Op>>().with().len(0..200_usize);
    tc_fuzz::replay(&REGRESSIONS, ops, |ops| run(ops));
}
