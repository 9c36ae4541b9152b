//! The table of idempotency keys against a simple model.

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
        how: u8,
    },
    Advance {
        millis: u8,
    },
}

/// What the model knows of a key.
struct Known {
    body: bool,
    joined: Vec<tokio::sync::watch::Receiver<Option<Arc<FinalResponse>>>>,
    done: Option<(Arc<FinalResponse>, MonoTime)>,
}

#[derive(Default)]
struct Model {
    known: HashMap<ClaimKey, Known>,
    /// Runs whose call was sent, by key; forgotten when the retention is over.
    sent: HashMap<ClaimKey, u32>,
}

fn claim_key(workspace: bool, key: u8) -> ClaimKey {
    ClaimKey {
        workspace: if workspace { "a" } else { "b" }.into(),
        target: "pipeline/appraise".into(),
        key: format!("k-{}", key % 5),
    }
}

fn answer(how: u8, serial: usize) -> Arc<FinalResponse> {
    let (status, run_state) = match how % 4 {
        0 => (StatusCode::OK, RunState::Ran),
        1 => (StatusCode::BAD_GATEWAY, RunState::Unknown),
        2 => (StatusCode::SERVICE_UNAVAILABLE, RunState::NotRun),
        _ => (StatusCode::GATEWAY_TIMEOUT, RunState::Ran),
    };
    let mut body = format!("answer {serial}");
    body.push_str(&" ".repeat(usize::from(how)));
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
        self.known.retain(|key, known| {
            let kept = !matches!(&known.done, Some((_, until)) if *until <= now);
            if !kept {
                sent.remove(key);
            }
            kept
        });
    }

    fn begin(&mut self, key: &ClaimKey, body: bool, verdict: KeyVerdict) {
        let mine = self.known.keys().filter(|k| k.workspace == key.workspace);
        let full = mine.count() >= LIMITS.keys_per_workspace || self.known.len() >= LIMITS.keys;
        match (self.known.get_mut(key), verdict) {
            (None, KeyVerdict::TableFull) => assert!(full, "refused although there was room"),
            (None, KeyVerdict::New(rx)) => {
                assert!(!full, "taken beyond the bound");
                let known = Known {
                    body,
                    joined: vec![rx],
                    done: None,
                };
                self.known.insert(key.clone(), known);
            }
            (Some(known), KeyVerdict::BodyMismatch) => assert_ne!(known.body, body),
            (Some(known), KeyVerdict::Running(rx)) => {
                assert!(known.body == body && known.done.is_none());
                known.joined.push(rx);
            }
            (Some(known), KeyVerdict::Completed(found)) => {
                assert_eq!(known.body, body);
                let (told, _) = known.done.as_ref().expect("done before");
                assert!(
                    *found == **told || *found == told.without_body(),
                    "another answer"
                );
            }
            (known, verdict) => panic!("known {}: {verdict:?}", known.is_some()),
        }
    }

    fn finish(&mut self, now: MonoTime, key: &ClaimKey, answer: &Arc<FinalResponse>) {
        let Some(known) = self.known.get_mut(key).filter(|k| k.done.is_none()) else {
            return;
        };
        for rx in known.joined.drain(..) {
            let told = rx.borrow().clone().expect("every delivery is answered");
            assert!(
                Arc::ptr_eq(&told, answer),
                "deliveries were told different answers"
            );
        }
        if answer.run_state == RunState::NotRun {
            self.known.remove(key);
            return;
        }
        known.done = Some((answer.clone(), now.after(RETENTION)));
        let sent = self.sent.entry(key.clone()).or_default();
        *sent += 1;
        assert_eq!(
            *sent, 1,
            "{key:?} was dispatched twice within its retention"
        );
    }
}

/// Symptom: a doubled effect, or a delivery without an answer.
/// Sequence: any order of deliveries, ends and time over ten keys of two workspaces, beyond the table's bounds.
/// Cause: a key forgotten, evicted or handed out while it runs or is kept.
#[test]
fn each_key_runs_at_most_once_and_every_delivery_is_told_the_same() {
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
                    assert_eq!(table.len(), model.known.len());
                }
                Op::Finish {
                    workspace,
                    key,
                    how,
                } => {
                    let key = claim_key(workspace, key);
                    let answer = answer(how, serial);
                    table.finish(now, &key, &answer, RETENTION);
                    model.finish(now, &key, &answer);
                }
                Op::Advance { millis } => {
                    now = now.after(Duration::from_millis(u64::from(millis)));
                }
            }
        }
    });
}
