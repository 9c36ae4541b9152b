//! Compares the table of idempotency keys with a simple model.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bolero::{TypeGenerator, generator::produce};
use http::{HeaderMap, StatusCode};
use tc_caller::{FinalResponse, KeyTable, KeyTableLimits, KeyVerdict};
use tc_protocol::{ClaimKey, MonoTime, RunState};

const ITERATIONS: usize = 2_000;
const RETENTION: Duration = Duration::from_millis(200);
const LIMITS: KeyTableLimits = KeyTableLimits {
    keys_per_workspace: 3,
    keys: 5,
    response_bytes_per_workspace: 64,
};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Op {
    Begin {
        workspace: bool,
        key: u8,
        body: bool,
    },
    Finish {
        workspace: bool,
        key: u8,
        kind: u8,
    },
    Advance {
        millis: u8,
    },
}

/// State of a key in the model.
struct ModelKey {
    body: bool,
    waiting: Vec<tokio::sync::watch::Receiver<Option<Arc<FinalResponse>>>>,
    completed: Option<(Arc<FinalResponse>, MonoTime)>,
}

#[derive(Default)]
struct Model {
    keys: HashMap<ClaimKey, ModelKey>,
    /// Number of runs with a sent call, by key. Removed when the retention has expired.
    sent: HashMap<ClaimKey, u32>,
}

fn claim_key(workspace: bool, key: u8) -> ClaimKey {
    ClaimKey {
        workspace: if workspace { "a" } else { "b" }.into(),
        target: "pipeline/appraise".into(),
        key: format!("k-{}", key % 5),
    }
}

fn make_response(kind: u8, serial: usize) -> Arc<FinalResponse> {
    let (status, run_state) = match kind % 4 {
        0 => (StatusCode::OK, RunState::Ran),
        1 => (StatusCode::BAD_GATEWAY, RunState::Unknown),
        2 => (StatusCode::SERVICE_UNAVAILABLE, RunState::NotRun),
        _ => (StatusCode::GATEWAY_TIMEOUT, RunState::Ran),
    };
    let mut body = format!("answer {serial}");
    body.push_str(&" ".repeat(usize::from(kind)));
    Arc::new(FinalResponse {
        status,
        headers: HeaderMap::new(),
        body: Some(body.into()),
        run_state,
    })
}

impl Model {
    fn expire(&mut self, now: MonoTime) {
        let sent = &mut self.sent;
        self.keys.retain(|key, key_state| {
            let retained = !matches!(&key_state.completed, Some((_, until)) if *until <= now);
            if !retained {
                sent.remove(key);
            }
            retained
        });
    }

    fn begin(&mut self, key: &ClaimKey, body: bool, verdict: KeyVerdict) {
        let in_workspace = self.keys.keys().filter(|k| k.workspace == key.workspace);
        let full =
            in_workspace.count() >= LIMITS.keys_per_workspace || self.keys.len() >= LIMITS.keys;
        match (self.keys.get_mut(key), verdict) {
            (None, KeyVerdict::TableFull) => assert!(full, "key refused below the limits"),
            (None, KeyVerdict::New(rx)) => {
                assert!(!full, "key accepted beyond the limit");
                let key_state = ModelKey {
                    body,
                    waiting: vec![rx],
                    completed: None,
                };
                self.keys.insert(key.clone(), key_state);
            }
            (Some(key_state), KeyVerdict::BodyMismatch) => assert_ne!(key_state.body, body),
            (Some(key_state), KeyVerdict::Running(rx)) => {
                assert!(key_state.body == body && key_state.completed.is_none());
                key_state.waiting.push(rx);
            }
            (Some(key_state), KeyVerdict::Completed(found)) => {
                assert_eq!(key_state.body, body);
                let (expected, _) = key_state.completed.as_ref().expect("key has not completed");
                assert!(
                    *found == **expected || *found == expected.without_body(),
                    "different response"
                );
            }
            (key_state, verdict) => panic!(
                "key in the model: {}, verdict: {verdict:?}",
                key_state.is_some()
            ),
        }
    }

    fn finish(&mut self, now: MonoTime, key: &ClaimKey, response: &Arc<FinalResponse>) {
        let Some(key_state) = self.keys.get_mut(key).filter(|k| k.completed.is_none()) else {
            return;
        };
        for rx in key_state.waiting.drain(..) {
            let received = rx.borrow().clone().expect("delivery without a response");
            assert!(
                Arc::ptr_eq(&received, response),
                "deliveries got different responses"
            );
        }
        if response.run_state == RunState::NotRun {
            self.keys.remove(key);
            return;
        }
        key_state.completed = Some((response.clone(), now.after(RETENTION)));
        let sent = self.sent.entry(key.clone()).or_default();
        *sent += 1;
        assert_eq!(
            *sent, 1,
            "{key:?} was dispatched twice within its retention"
        );
    }
}

/// Guards against requests that take effect twice and deliveries without a response, which happen if a key is removed
/// or started again while it is running or retained. Random deliveries, completions and clock advances use ten keys of
/// two workspaces, which exceeds the limits of the table.
#[test]
fn each_key_runs_at_most_once_and_every_delivery_gets_the_same_response() {
    tc_fuzz::check(ITERATIONS, produce::<Vec<Op>>(), |ops| {
        let mut table = KeyTable::new(LIMITS);
        let mut model = Model::default();
        let mut now = MonoTime::from_millis(1);
        for (serial, op) in ops.iter().enumerate() {
            match *op {
                Op::Begin {
                    workspace,
                    key,
                    body,
                } => {
                    let key = claim_key(workspace, key);
                    model.expire(now);
                    let verdict = table.begin(now, &key, u64::from(body));
                    model.begin(&key, body, verdict);
                    assert_eq!(table.len(), model.keys.len());
                }
                Op::Finish {
                    workspace,
                    key,
                    kind,
                } => {
                    let key = claim_key(workspace, key);
                    let response = make_response(kind, serial);
                    table.finish(now, &key, &response, RETENTION);
                    model.finish(now, &key, &response);
                }
                Op::Advance { millis } => {
                    now = now.after(Duration::from_millis(u64::from(millis)));
                }
            }
        }
    });
}
