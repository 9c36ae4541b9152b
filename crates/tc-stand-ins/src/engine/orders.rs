//! Orders: which models are loaded, and the fencing number.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Instant,
};

use http::{Response, StatusCode};
use tc_protocol::wire::{Order, OrderRefused};

use super::State;
use crate::{
    answer::{Body, json, refusal},
    recorder::OrderRecord,
    sync::lock,
    weight_store,
};

/// State that orders have changed.
pub(super) struct Orders {
    state: Mutex<Ordered>,
}

struct Ordered {
    highest_fence: u64,
    models: Vec<String>,
    wanted: Vec<String>,
    any_model: bool,
    role: Option<String>,
}

impl Orders {
    pub(super) fn new(models: Vec<String>) -> Self {
        Self {
            state: Mutex::new(Ordered {
                highest_fence: 0,
                any_model: models.is_empty(),
                models,
                wanted: Vec::new(),
                role: None,
            }),
        }
    }

    pub(super) fn models(&self) -> Vec<String> {
        lock(&self.state).models.clone()
    }

    pub(super) fn role(&self) -> Option<String> {
        lock(&self.state).role.clone()
    }

    /// Whether a call for `model` can be run.
    pub(super) fn runs(&self, model: &str) -> bool {
        let state = lock(&self.state);
        state.any_model
            || state
                .models
                .iter()
                .any(|loaded| loaded == model || loaded.split('@').next() == Some(model))
    }

    /// Takes an order unless it is checked and its fencing number is old.
    fn admit(&self, order: &Order, checks: bool) -> Result<(), OrderRefused> {
        let mut state = lock(&self.state);
        if checks && order.fence < state.highest_fence {
            return Err(OrderRefused {
                highest_fence: state.highest_fence,
            });
        }
        state.highest_fence = state.highest_fence.max(order.fence);
        state.role.clone_from(&order.role);
        state.wanted.clone_from(&order.models);
        state.models.retain(|model| order.models.contains(model));
        Ok(())
    }

    /// Notes that a model was loaded, unless a later order no longer wants it.
    fn add_model(&self, model: &str) {
        let mut state = lock(&self.state);
        if !state.wanted.iter().any(|wanted| wanted == model) {
            return;
        }
        state.any_model = false;
        if !state.models.iter().any(|loaded| loaded == model) {
            state.models.push(model.to_owned());
        }
    }
}

/// Handles `POST /orders`. Models are loaded after the answer.
pub(super) fn handle_order(state: &Arc<State>, body: &[u8]) -> Response<Body> {
    let order: Order = match serde_json::from_slice(body) {
        Ok(order) => order,
        Err(error) => return refusal(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let admitted = state.orders.admit(&order, state.cfg.checks_orders);
    state.upstream.recorder.add_order(OrderRecord {
        upstream: state.upstream.id.clone(),
        order: order.clone(),
        accepted: admitted.is_ok(),
        at: Instant::now(),
    });
    match admitted {
        Ok(()) => {
            load_missing(state, &order.models);
            json(&serde_json::json!({}))
        }
        Err(refused) => {
            let mut resp = json(&refused);
            *resp.status_mut() = StatusCode::CONFLICT;
            resp
        }
    }
}

fn load_missing(state: &Arc<State>, models: &[String]) {
    let loaded = state.orders.models();
    for model in models.iter().filter(|model| !loaded.contains(model)) {
        match state.cfg.weight_store {
            None => state.orders.add_model(model),
            Some(store) => {
                tokio::spawn(load(Arc::clone(state), store, model.clone()));
            }
        }
    }
}

async fn load(state: Arc<State>, store: SocketAddr, model: String) {
    let life = state.upstream.life();
    tokio::select! {
        () = weight_store::fetch(store, &model) => state.orders.add_model(&model),
        () = life.ended() => {}
    }
}
