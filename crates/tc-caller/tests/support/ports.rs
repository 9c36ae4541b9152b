//! Small fakes of everything the caller side needs from the fleet.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures::FutureExt;
use tc_caller::Ports;
use tc_protocol::{
    ClaimKey, ClaimVerdict, Fingerprint, FleetConfig, FleetView, Grant, Permit, PermitId,
    PermitRefusal, PermitRequest, RecordedOutcome, RefusalReason, Release, UpstreamId,
    WorkspaceLimitGuard,
    wire::{AddressAnswer, CallerAddress},
};

use super::fleet::{ANY_PORT, INCARNATION, ME, member, view};

struct Claim {
    body_hash: u64,
    id: String,
    outcome: Option<RecordedOutcome>,
}

/// State behind the fake ports, and switches for their faults.
pub(crate) struct Fakes {
    view: RwLock<Arc<FleetView>>,
    pub(crate) asks: Mutex<Vec<PermitRequest>>,
    pub(crate) releases: Mutex<Vec<(UpstreamId, Release)>>,
    pub(crate) crashed: Mutex<Vec<(Fingerprint, UpstreamId)>>,
    pub(crate) ran_whole: Mutex<Vec<Fingerprint>>,
    /// Refuses every ask for this service.
    pub(crate) refuse: Mutex<Option<(String, RefusalReason)>>,
    /// Answers no ask.
    pub(crate) mute_asks: AtomicBool,
    pub(crate) over_limit: AtomicBool,
    pub(crate) store_down: AtomicBool,
    pub(crate) lose_store_on_join: AtomicBool,
    claims: Mutex<HashMap<ClaimKey, Claim>>,
    pub(crate) shares: AtomicU64,
    granted: AtomicUsize,
    pub(crate) charged: Mutex<f64>,
    next: AtomicU64,
}

impl Fakes {
    pub(crate) fn new(config: FleetConfig) -> Self {
        let me = member(ME, INCARNATION, ANY_PORT);
        Self {
            view: RwLock::new(Arc::new(view(me, &[], config))),
            asks: Mutex::default(),
            releases: Mutex::default(),
            crashed: Mutex::default(),
            ran_whole: Mutex::default(),
            refuse: Mutex::default(),
            mute_asks: AtomicBool::new(false),
            over_limit: AtomicBool::new(false),
            store_down: AtomicBool::new(false),
            lose_store_on_join: AtomicBool::new(false),
            claims: Mutex::default(),
            shares: AtomicU64::new(0),
            granted: AtomicUsize::new(0),
            charged: Mutex::default(),
            next: AtomicU64::new(1),
        }
    }

    pub(crate) fn view(&self) -> Arc<FleetView> {
        self.view.read().unwrap().clone()
    }

    pub(crate) fn set_view(&self, view: FleetView) {
        *self.view.write().unwrap() = Arc::new(view);
    }

    pub(crate) fn ports(self: &Arc<Self>) -> Ports {
        let me = || self.clone();
        let (view, ask, share) = (me(), me(), me());
        let (claim, record, join) = (me(), me(), me());
        let (crashed, ran) = (me(), me());
        Ports {
            view: Arc::new(move || view.view()),
            request_permit: Arc::new(move |a| {
                let fakes = ask.clone();
                async move { fakes.ask(a).await }.boxed()
            }),
            start_request: Arc::new(move |_| share.share()),
            claim: Arc::new(move |key, hash, _| {
                let verdict = claim.claim(key, hash);
                async move { verdict }.boxed()
            }),
            record_outcome: Arc::new(move |key, id, outcome| {
                let done = record.record(&key, &id, outcome);
                async move { done }.boxed()
            }),
            wait_for_outcome: Arc::new(move |key, wait| {
                let fakes = join.clone();
                async move { fakes.join(key, wait).await }.boxed()
            }),
            report_crash: Arc::new(move |fingerprint, upstream| {
                crashed
                    .crashed
                    .lock()
                    .unwrap()
                    .push((fingerprint, upstream));
                async {}.boxed()
            }),
            report_completed: Arc::new(move |fingerprint| {
                ran.ran_whole.lock().unwrap().push(fingerprint);
            }),
            addresses: Arc::new(|_| addresses()),
        }
    }

    /// Grants the first upstream of the service that is not to be avoided.
    async fn ask(self: Arc<Self>, ask: PermitRequest) -> Result<Permit, PermitRefusal> {
        self.asks.lock().unwrap().push(ask.clone());
        if self.mute_asks.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        let refused = |reason| PermitRefusal {
            reason,
            retry_after: Duration::from_millis(1_500),
        };
        if let Some((service, reason)) = self.refuse.lock().unwrap().as_ref()
            && ask.service.as_str() == service
        {
            return Err(refused(*reason));
        }
        let view = self.view();
        let upstream = view.upstreams[&ask.service]
            .iter()
            .map(|state| &state.upstream)
            .find(|u| !ask.excluded.contains(&u.id))
            .ok_or_else(|| refused(RefusalReason::NoUpstream))?;
        let grant = Grant {
            permit: PermitId(self.next.fetch_add(1, Ordering::SeqCst)),
            upstream: upstream.id.clone(),
            address: upstream.address,
            expires_in: ask.run_for,
            waited: Duration::ZERO,
        };
        let (id, fakes) = (upstream.id.clone(), self.clone());
        self.granted.fetch_add(1, Ordering::SeqCst);
        Ok(Permit::new(
            grant,
            "first in order".into(),
            move |release| {
                fakes.releases.lock().unwrap().push((id, release));
            },
        ))
    }

    fn share(self: &Arc<Self>) -> Result<WorkspaceLimitGuard, Duration> {
        if self.over_limit.load(Ordering::SeqCst) {
            return Err(Duration::from_millis(2_500));
        }
        self.shares.fetch_add(1, Ordering::SeqCst);
        let fakes = self.clone();
        Ok(WorkspaceLimitGuard::new(move |units| {
            fakes.shares.fetch_sub(1, Ordering::SeqCst);
            *fakes.charged.lock().unwrap() += units;
        }))
    }

    fn claim(&self, key: ClaimKey, body_hash: u64) -> ClaimVerdict {
        if self.store_down.load(Ordering::SeqCst) {
            return ClaimVerdict::Unavailable;
        }
        let mut claims = self.claims.lock().unwrap();
        if let Some(claim) = claims.get(&key) {
            return claim.verdict(body_hash);
        }
        let claim_id = format!("claim-{}", self.next.fetch_add(1, Ordering::SeqCst));
        let claim = Claim {
            body_hash,
            id: claim_id.clone(),
            outcome: None,
        };
        claims.insert(key, claim);
        ClaimVerdict::Acquired { claim_id }
    }

    fn record(&self, key: &ClaimKey, id: &str, outcome: RecordedOutcome) -> bool {
        let mut claims = self.claims.lock().unwrap();
        match claims.get_mut(key).filter(|claim| claim.id == id) {
            Some(claim) => {
                claim.outcome = Some(outcome);
                true
            }
            None => false,
        }
    }

    async fn join(self: Arc<Self>, key: ClaimKey, wait: Duration) -> ClaimVerdict {
        if self.lose_store_on_join.load(Ordering::SeqCst) {
            return ClaimVerdict::Unavailable;
        }
        let until = tokio::time::Instant::now() + wait;
        while tokio::time::Instant::now() < until {
            let outcome = self.outcome_of(&key);
            if let Some(outcome) = outcome {
                return ClaimVerdict::Recorded(outcome);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        ClaimVerdict::Held
    }

    pub(crate) fn outcome_of(&self, key: &ClaimKey) -> Option<RecordedOutcome> {
        let claims = self.claims.lock().unwrap();
        claims.get(key).and_then(|claim| claim.outcome.clone())
    }

    pub(crate) fn claims(&self) -> usize {
        self.claims.lock().unwrap().len()
    }

    /// Permits granted and not released.
    pub(crate) fn permits_out(&self) -> usize {
        self.granted.load(Ordering::SeqCst) - self.releases.lock().unwrap().len()
    }

    /// How many permits were released with each outcome.
    pub(crate) fn releases_by_outcome(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for (_, release) in self.releases.lock().unwrap().iter() {
            *counts.entry(format!("{:?}", release.outcome)).or_default() += 1;
        }
        counts
    }
}

impl Claim {
    fn verdict(&self, body_hash: u64) -> ClaimVerdict {
        match &self.outcome {
            _ if self.body_hash != body_hash => ClaimVerdict::BodyMismatch,
            Some(outcome) => ClaimVerdict::Recorded(outcome.clone()),
            None => ClaimVerdict::Held,
        }
    }
}

fn addresses() -> AddressAnswer {
    AddressAnswer {
        instances: vec![CallerAddress {
            id: ME.into(),
            incarnation: INCARNATION,
            address: ANY_PORT,
            failure_domain: "a".into(),
            binding: format!("{ME}@{INCARNATION}"),
        }],
        max_age_s: 10,
    }
}
