//! Repeats a call that is not answered soon, without giving it up.

use std::{future::Future, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use tc_platform::CallProgress;

/// Maximum number of calls at a time for one read, so that a store that answers nobody is not called much more
/// often than a healthy one.
pub(super) const MAX_CALLS: u32 = 3;

/// Makes a call, and makes it again after each `delay` in which no part of an answer arrives, up to `max_calls` times.
///
/// `call` records the arrival of answers in the progress that it gets.
///
/// Returns the first success, which drops the other calls, or the last error once all have failed.
pub(super) async fn hedged<T, E, F>(
    delay: Duration,
    max_calls: u32,
    call: impl Fn(CallProgress) -> F,
) -> Result<T, E>
where
    F: Future<Output = Result<T, E>>,
{
    let progress = CallProgress::default();
    let mut pending = FuturesUnordered::from_iter([call(progress.clone())]);
    let mut made = 1;
    loop {
        tokio::select! {
            Some(result) = pending.next() => {
                if result.is_ok() || pending.is_empty() {
                    return result;
                }
            }
            () = progress.stalled_for(delay), if made < max_calls => {
                metrics::counter!("tc_store_hedged_calls_total").increment(1);
                pending.push(call(progress.clone()));
                made += 1;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use std::cell::Cell;

    use tokio::time::{Instant, sleep};

    use super::*;

    const DELAY: Duration = Duration::from_millis(250);
    const TIMEOUT: Duration = Duration::from_millis(1_500);

    /// Calls of which the first `lost` are never answered and the others fail or succeed at once.
    /// Returns the result, the number of calls and the time taken.
    async fn run(lost: u32, answer: Result<(), ()>) -> (Result<(), ()>, u32, Duration) {
        let made = Cell::new(0);
        let started = Instant::now();
        let call = |_| {
            made.set(made.get() + 1);
            let is_lost = made.get() <= lost;
            async move {
                if is_lost {
                    sleep(TIMEOUT).await;
                    return Err(());
                }
                answer
            }
        };
        let result = hedged(DELAY, MAX_CALLS, call).await;
        (result, made.get(), started.elapsed())
    }

    #[tokio::test(start_paused = true)]
    async fn answered_call_is_made_once() {
        assert_eq!(run(0, Ok(())).await, (Ok(()), 1, Duration::ZERO));
        assert_eq!(run(0, Err(())).await, (Err(()), 1, Duration::ZERO));
    }

    /// Guards against a lost call that delays the result by its timeout.
    #[tokio::test(start_paused = true)]
    async fn each_lost_call_costs_one_delay() {
        for lost in 1..MAX_CALLS {
            let (result, calls, took) = run(lost, Ok(())).await;
            assert_eq!((result, calls), (Ok(()), lost + 1));
            assert!(took < DELAY * lost + Duration::from_millis(5), "{took:?}");
        }
    }

    /// Guards against repetitions of a call whose answer is under way, with which it would share a slow link.
    #[tokio::test(start_paused = true)]
    async fn call_is_not_repeated_while_its_answer_arrives() {
        let made = Cell::new(0);
        let call = |progress: CallProgress| {
            made.set(made.get() + 1);
            async move {
                for _ in 0..10 {
                    sleep(DELAY / 2).await;
                    progress.record();
                }
                Ok::<(), ()>(())
            }
        };
        assert_eq!(hedged(DELAY, MAX_CALLS, call).await, Ok(()));
        assert_eq!(made.get(), 1);
    }

    /// Guards against a read that waits for its timeout because its answer stopped arriving half-way.
    #[tokio::test(start_paused = true)]
    async fn call_is_repeated_if_its_answer_stops_arriving() {
        let made = Cell::new(0);
        let started = Instant::now();
        let call = |progress: CallProgress| {
            made.set(made.get() + 1);
            let is_lost = made.get() == 1;
            async move {
                progress.record();
                if is_lost {
                    sleep(TIMEOUT).await;
                }
                Ok::<(), ()>(())
            }
        };
        assert_eq!(hedged(DELAY, MAX_CALLS, call).await, Ok(()));
        assert_eq!(made.get(), 2);
        let took = started.elapsed();
        assert!(took < DELAY + Duration::from_millis(5), "{took:?}");
    }

    /// Guards against calls without end to a store that answers nobody, which would hide the outage.
    #[tokio::test(start_paused = true)]
    async fn fails_after_the_timeout_of_the_last_call() {
        let (result, calls, took) = run(u32::MAX, Ok(())).await;
        assert_eq!((result, calls), (Err(()), MAX_CALLS));
        let expected = DELAY * (MAX_CALLS - 1) + TIMEOUT;
        assert!(took < expected + Duration::from_millis(5), "{took:?}");
    }
}
