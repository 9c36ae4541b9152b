//! Continuous batching: how long prefill and tokens of a call take beside the others that run.

use std::time::Duration;

use tc_protocol::wire::Usage;
use tokio::time::{Instant, sleep_until};

use super::EngineConfig;
use crate::upstream::Upstream;

/// Tokens whose time is shorter than this are slept for together when nobody waits for each of them.
const LEAST_SLEEP: Duration = Duration::from_millis(4);
/// Bytes of a prompt that make one token.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens of a prompt.
pub(super) fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u32
}

/// Time of one token while `running` calls share the engine.
fn token_time(cfg: &EngineConfig, running: u32, slow_factor: f64) -> Duration {
    let others = f64::from(running.saturating_sub(1));
    let factor = (1.0 + cfg.batch_slowdown * others) * slow_factor;
    cfg.per_token.mul_f64(factor)
}

/// Spends the time that a call takes; `on_tokens` gets the number of tokens generated so far.
pub(super) async fn generate(
    cfg: &EngineConfig,
    upstream: &Upstream,
    usage: Usage,
    streaming: bool,
    mut on_tokens: impl FnMut(u32),
) {
    let uncached = usage.prompt_tokens - usage.cached_tokens;
    upstream
        .work(cfg.first_token + cfg.per_prompt_token * uncached)
        .await;
    let total = usage.completion_tokens;
    let mut done = total.min(1);
    on_tokens(done);
    // Due times add up, so that timers of 1 ms give the right rate on average.
    let mut due = Instant::now();
    while done < total {
        upstream.faults.hold().await;
        let each = token_time(cfg, upstream.slots.running(), upstream.faults.slow_factor());
        let step = if streaming {
            1
        } else {
            step_for(each).min(total - done)
        };
        due = (due + each * step).max(Instant::now().checked_sub(each).unwrap_or(due));
        if due > Instant::now() {
            sleep_until(due).await;
        }
        done += step;
        on_tokens(done);
    }
}

fn step_for(each: Duration) -> u32 {
    if each.is_zero() {
        return u32::MAX;
    }
    let step = LEAST_SLEEP.as_nanos().div_ceil(each.as_nanos());
    u32::try_from(step).unwrap_or(u32::MAX)
}
