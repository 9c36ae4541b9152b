//! Backoffs requested by upstreams: no sender sends before they expire.

use std::time::Duration;

use bolero::generator::produce;
use tc_policy::Backoffs;
use tc_protocol::{MonoTime, UpstreamId};

const UPSTREAMS: usize = 3;
const SENDERS: usize = 2;
/// Longest time between the choice of an upstream and the send.
const LONGEST_DELAY_MS: u64 = 1_500;

/// A backoff that an upstream has requested from a sender.
struct RequestedBackoff {
    sender: usize,
    upstream: UpstreamId,
    from: MonoTime,
    until: MonoTime,
}

/// A request whose upstream is chosen but that is not sent yet.
struct PendingSend {
    sender: usize,
    upstream: UpstreamId,
    sent_at: MonoTime,
}

fn upstream(index: usize, incarnation: u32) -> UpstreamId {
    format!("u{index}~{incarnation}").into()
}

/// Guards against sends whose upstream was chosen before the backoff was requested, a backoff that a shorter one
/// replaces, and a backoff that is applied to a restarted upstream process.
#[test]
fn no_request_is_sent_during_a_backoff() {
    tc_fuzz::check(2_000, produce::<Vec<(u8, u8, u16)>>(), |steps| {
        let mut backoffs = [Backoffs::default(), Backoffs::default()];
        let mut incarnations = [0; UPSTREAMS];
        let mut requested: Vec<RequestedBackoff> = Vec::new();
        let mut pending: Vec<PendingSend> = Vec::new();
        let mut now = MonoTime::from_millis(1_000);
        for (action, selector, time) in steps {
            now = now.after(Duration::from_millis(u64::from(*time % 400)));
            let sender = usize::from(*selector) % SENDERS;
            let index = usize::from(*selector / 2) % UPSTREAMS;
            let id = upstream(index, incarnations[index]);
            match action % 4 {
                0 => {
                    let backoff = Duration::from_millis(u64::from(*time) % 5_000);
                    let random = f64::from(*selector) / 255.0;
                    backoffs[sender].extend(now, &id, backoff, random);
                    let until = now.after(backoff);
                    requested.push(RequestedBackoff {
                        sender,
                        upstream: id,
                        from: now,
                        until,
                    });
                }
                1 => incarnations[index] += 1,
                2 => backoffs[sender].remove_expired(now),
                _ => {
                    let delay = Duration::from_millis(u64::from(*time) % LONGEST_DELAY_MS);
                    let is_new = !requested.iter().any(|a| a.upstream == id);
                    let is_free = backoffs[sender].remaining(now, &id).is_none();
                    assert!(
                        is_free || !is_new,
                        "an upstream that requested no backoff is in backoff"
                    );
                    if is_free {
                        let sent_at = now.after(delay);
                        pending.push(PendingSend {
                            sender,
                            upstream: id,
                            sent_at,
                        });
                    }
                }
            }
            let (due, later) = pending
                .into_iter()
                .partition(|c: &PendingSend| c.sent_at <= now);
            pending = later;
            for send in due {
                let may_send = backoffs[send.sender]
                    .remaining(now, &send.upstream)
                    .is_none();
                let is_requested = requested.iter().any(|a: &RequestedBackoff| {
                    a.sender == send.sender
                        && a.upstream == send.upstream
                        && a.from <= now
                        && now < a.until
                });
                assert!(
                    !(may_send && is_requested),
                    "{} gets a request during its backoff",
                    send.upstream
                );
            }
        }
    });
}

/// Guards against instances that resume simultaneously or exceed the jitter bound.
#[test]
fn jitter_extends_backoffs_within_bounds() {
    let now = MonoTime::from_millis(1_000);
    let backoff_of = |backoff: Duration, random: f64| {
        let mut backoffs = Backoffs::default();
        backoffs.extend(now, &"u".into(), backoff, random);
        backoffs.remaining(now, &"u".into()).unwrap_or_default()
    };
    let seconds = Duration::from_secs;
    assert_eq!(backoff_of(seconds(3), 0.0), seconds(3));
    assert_eq!(backoff_of(seconds(3), 1.0), Duration::from_millis(3_300));
    assert_eq!(backoff_of(seconds(60), 1.0), Duration::from_millis(60_500));
    assert_eq!(backoff_of(Duration::MAX, 1.0).as_secs(), 24 * 60 * 60);
}
