//! The address answer as a caller keeps it.

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use tc_protocol::wire::{AddressAnswer, CallerAddress};

use super::http::{Http, get_text};

/// Longest wait for an address answer from one instance.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Instances that one caller may use, looked up again after the answer's max-age.
pub(super) struct Addresses {
    workspace: String,
    token: String,
    /// Addresses the caller knows from its settings.
    entries: Vec<SocketAddr>,
    kept: Mutex<Option<(Instant, AddressAnswer)>>,
    /// One question at a time; the others wait for its answer.
    asking: tokio::sync::Mutex<()>,
}

impl Addresses {
    pub(super) fn new(workspace: &str, token: &str, entries: Vec<SocketAddr>) -> Self {
        Self {
            workspace: workspace.to_owned(),
            token: token.to_owned(),
            entries,
            kept: Mutex::new(None),
            asking: tokio::sync::Mutex::new(()),
        }
    }

    /// Addresses to use, best first; the old answer when no instance gives a new one; empty when there was none ever.
    pub(super) async fn current(&self, http: &Http) -> Vec<CallerAddress> {
        if let Some(fresh) = self.fresh() {
            return fresh;
        }
        let _turn = self.asking.lock().await;
        if let Some(fresh) = self.fresh() {
            return fresh;
        }
        for address in self.whom_to_ask() {
            if let Some(answer) = self.ask(http, address).await {
                let instances = answer.instances.clone();
                *self.lock() = Some((Instant::now(), answer));
                return instances;
            }
        }
        self.lock()
            .as_ref()
            .map(|(_, answer)| answer.instances.clone())
            .unwrap_or_default()
    }

    fn fresh(&self) -> Option<Vec<CallerAddress>> {
        let kept = self.lock();
        let (at, answer) = kept.as_ref()?;
        let fresh = at.elapsed() < Duration::from_secs(answer.max_age_s);
        fresh.then(|| answer.instances.clone())
    }

    /// Settings first, so that callers stay spread as they were set up; then every address learned.
    fn whom_to_ask(&self) -> Vec<SocketAddr> {
        let mut addresses = self.entries.clone();
        if let Some((_, answer)) = self.lock().as_ref() {
            addresses.extend(answer.instances.iter().map(|i| i.address));
        }
        addresses
    }

    async fn ask(&self, http: &Http, address: SocketAddr) -> Option<AddressAnswer> {
        let url = format!("http://{address}/v1/instances?workspace={}", self.workspace);
        let text = get_text(http, &url, &self.token, ASK_TIMEOUT).await?;
        let answer: AddressAnswer = serde_json::from_str(&text).ok()?;
        (!answer.instances.is_empty()).then_some(answer)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<(Instant, AddressAnswer)>> {
        self.kept
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
