//! Fake implementations of [`Ports`].

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

/// State of the fake ports, and switches for injected faults.
pub(crate) struct Fakes {
    view: RwLock<Arc<FleetView>>,
    pub(crate) permit_requests: Mutex<Vec<PermitRequest>>,
    pub(crate) releases: Mutex<Vec<(UpstreamId, Release)>>,
    pub(crate) crashed: Mutex<Vec<(Fingerprint, UpstreamId)>>,
    pub(crate) ran_whole: Mutex<Vec<Fingerprint>>,
    /// Refuses every permit request for this service.
    pub(crate) refuse_service: Mutex<Option<(String, RefusalReason)>>,
    /// Leaves every permit request without a reply.
    pub(crate) ignore_permit_requests: AtomicBool,
    pub(crate) over_limit: AtomicBool,
    pub(crate) store_down: AtomicBool,
    pub(crate) lose_store_on_join: AtomicBool,
    claims: Mutex<HashMap<ClaimKey, Claim>>,
    pub(crate) limit_guards: AtomicU64,
    granted: AtomicUsize,
    pub(crate) charged_units: Mutex<f64>,
    next_id: AtomicU64,
}

impl Fakes {
    pub(crate) fn new(config: FleetConfig) -> Self {
        let me = member(ME, INCARNATION, ANY_PORT);
        Self {
            view: RwLock::new(Arc::new(view(me, &[], config))),
            permit_requests: Mutex::default(),
            releases: Mutex::default(),
            crashed: Mutex::default(),
            ran_whole: Mutex::default(),
            refuse_service: Mutex::default(),
            ignore_permit_requests: AtomicBool::new(false),
            over_limit: AtomicBool::new(false),
            store_down: AtomicBool::new(false),
            lose_store_on_join: AtomicBool::new(false),
            claims: Mutex::default(),
            limit_guards: AtomicU64::new(0),
            granted: AtomicUsize::new(0),
            charged_units: Mutex::default(),
            next_id: AtomicU64::new(1),
        }
    }

    pub(crate) fn view(&self) -> Arc<FleetView> {
        self.view.read().unwrap().clone()
    }

    pub(crate) fn set_view(&self, view: FleetView) {
        *self.view.write().unwrap() = Arc::new(view);
    }

    pub(crate) fn ports(self: &Arc<Self>) -> Ports {
        let fakes = || self.clone();
        let (view, ask, share) = (fakes(), fakes(), fakes());
        let (claim, record, join) = (fakes(), fakes(), fakes());
        let (crashed, ran) = (fakes(), fakes());
        Ports {
            view: Arc::new(move || view.view()),
            request_permit: Arc::new(move |request| {
                let fakes = ask.clone();
                async move { fakes.request_permit(request).await }.boxed()
            }),
            start_request: Arc::new(move |_| share.limit_guard()),
            claim: Arc::new(move |key, hash, _| {
                let verdict = claim.claim(key, hash);
                async move { verdict }.boxed()
            }),
            record_outcome: Arc::new(move |key, id, outcome| {
                let recorded = record.record(&key, &id, outcome);
                async move { recorded }.boxed()
            }),
            wait_for_outcome: Arc::new(move |key, wait| {
                let fakes = join.clone();
                async move { fakes.join_claim(key, wait).await }.boxed()
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

    /// Grants a permit for the first upstream of the service that the request does not exclude.
    async fn request_permit(
        self: Arc<Self>,
        request: PermitRequest,
    ) -> Result<Permit, PermitRefusal> {
        self.permit_requests.lock().unwrap().push(request.clone());
        if self.ignore_permit_requests.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        let refused = |reason| PermitRefusal {
            reason,
            retry_after: Duration::from_millis(1_500),
        };
        if let Some((service, reason)) = self.refuse_service.lock().unwrap().as_ref()
            && request.service.as_str() == service
        {
            return Err(refused(*reason));
        }
        let view = self.view();
        let upstream = view.upstreams[&request.service]
            .iter()
            .map(|state| &state.upstream)
            .find(|u| !request.excluded.contains(&u.id))
            .ok_or_else(|| refused(RefusalReason::NoUpstream))?;
        let grant = Grant {
            permit: PermitId(self.next_id.fetch_add(1, Ordering::SeqCst)),
            upstream: upstream.id.clone(),
            address: upstream.address,
            expires_in: request.run_for,
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

    fn limit_guard(self: &Arc<Self>) -> Result<WorkspaceLimitGuard, Duration> {
        if self.over_limit.load(Ordering::SeqCst) {
            return Err(Duration::from_millis(2_500));
        }
        self.limit_guards.fetch_add(1, Ordering::SeqCst);
        let fakes = self.clone();
        Ok(WorkspaceLimitGuard::new(move |units| {
            fakes.limit_guards.fetch_sub(1, Ordering::SeqCst);
            *fakes.charged_units.lock().unwrap() += units;
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
        let claim_id = format!("claim-{}", self.next_id.fetch_add(1, Ordering::SeqCst));
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

    async fn join_claim(self: Arc<Self>, key: ClaimKey, wait: Duration) -> ClaimVerdict {
        if self.lose_store_on_join.load(Ordering::SeqCst) {
            return ClaimVerdict::Unavailable;
        }
        let until = tokio::time::Instant::now() + wait;
        while tokio::time::Instant::now() < until {
            let outcome = self.outcome(&key);
            if let Some(outcome) = outcome {
                return ClaimVerdict::Recorded(outcome);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        ClaimVerdict::Held
    }

    pub(crate) fn outcome(&self, key: &ClaimKey) -> Option<RecordedOutcome> {
        let claims = self.claims.lock().unwrap();
        claims.get(key).and_then(|claim| claim.outcome.clone())
    }

    pub(crate) fn claim_count(&self) -> usize {
        self.claims.lock().unwrap().len()
    }

    /// Returns the number of permits that are granted and not released.
    pub(crate) fn unreleased_permits(&self) -> usize {
        self.granted.load(Ordering::SeqCst) - self.releases.lock().unwrap().len()
    }

    /// Returns the number of released permits by outcome.
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
