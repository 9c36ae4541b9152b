//! Random begins, failures, releases and partitions: no stream gets events of two versions.

use std::time::Duration;

use bolero::{TypeGenerator, generator::produce};

use crate::simulation::{Fleet, Lookup, Stream, TakenUp};

const ITERATIONS: usize = 600;
const INSTANCES: usize = 6;
const RELEASES: [&[&str]; 5] = [
    &["v1"],
    &["v1", "v1.1"],
    &["v1.1"],
    &["v1.2", "v1.1", "v1"],
    &["v1.2"],
];

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Begin(u8, u8),
    TakeUp(u8, u8),
    Kill(u8),
    Restart(u8),
    Release(u8),
    /// An instance learns the present members and engines; the others keep their views.
    Refresh(u8),
    Partition(u8, bool),
    Wait(u8),
}

/// Returns the streams whose events have two versions, and the number of streams that went on.
fn play(lookup: Lookup, steps: &[Step]) -> (Vec<String>, usize) {
    let mut fleet = Fleet::new(lookup, INSTANCES);
    let mut streams: Vec<Stream> = Vec::new();
    let (mut mixed, mut went_on) = (Vec::new(), 0);
    let at = |number: u8| usize::from(number) % INSTANCES;
    for step in steps {
        match *step {
            Step::Begin(instance, choice) => {
                streams.extend(fleet.begin(at(instance), choice.into()));
            }
            Step::TakeUp(instance, stream) if !streams.is_empty() => {
                let stream = &streams[usize::from(stream) % streams.len()];
                if let Some(TakenUp::WentOn(version)) = fleet.take_up(at(instance), stream) {
                    went_on += 1;
                    if version != stream.version {
                        mixed.push(format!("{stream:?} went on at {version}"));
                    }
                }
            }
            Step::TakeUp(..) => {}
            Step::Kill(instance) => fleet.kill(at(instance)),
            Step::Restart(instance) => fleet.restart(at(instance)),
            Step::Release(release) => {
                fleet.release(RELEASES[usize::from(release) % RELEASES.len()]);
            }
            Step::Refresh(instance) => fleet.refresh(at(instance)),
            Step::Partition(instance, other_side) => {
                fleet.partition(at(instance), other_side.into());
            }
            Step::Wait(tenths) => fleet.wait(Duration::from_millis(u64::from(tenths) * 100)),
        }
    }
    (mixed, went_on)
}

/// Guards against a stream that goes on at another version, whatever fails and however old the views are.
#[test]
fn no_stream_goes_on_at_another_version() {
    let mut went_on = 0;
    tc_fuzz::check(ITERATIONS, produce::<Vec<Step>>(), |steps: &Vec<Step>| {
        let (mixed, resumed) = play(Lookup::Origins, steps);
        assert!(mixed.is_empty(), "{mixed:#?}");
        went_on += resumed;
    });
    assert!(went_on > 100, "only {went_on} streams went on");
}

/// Shows that the model detects mixed versions: with the choice before origins were kept, and with the assumption that
/// the only version known here is that of each stream.
#[test]
fn model_detects_choices_that_mix_versions() {
    for lookup in [Lookup::AnyVersion, Lookup::OnlyKnownVersion] {
        let mut mixed = 0;
        tc_fuzz::check(ITERATIONS, produce::<Vec<Step>>(), |steps: &Vec<Step>| {
            mixed += play(lookup, steps).0.len();
        });
        assert!(mixed > 0, "{lookup:?}");
    }
}
