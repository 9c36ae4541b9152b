//! Upstreams that registered after the first list of their service was known.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use tc_protocol::{MonoTime, ServiceName, UpstreamId};

/// Time for which an upstream counts as new.
const NEW_FOR: Duration = Duration::from_secs(30);
/// Time for which a removed upstream is remembered. A store that loses entries during an outage shows them again.
const RETENTION: Duration = Duration::from_mins(10);
/// Maximum number of removed upstreams that are remembered.
const MAX_REMOVED: usize = 4_096;

/// A registered upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenUpstream {
    /// Identifies one start of the process.
    pub id: UpstreamId,
    /// Service the upstream belongs to.
    pub service: ServiceName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the service has a home, which paces its upstreams by itself.
    pub has_home: bool,
}

#[derive(Clone, Debug)]
struct Seen {
    upstream: SeenUpstream,
    /// `None` if it was in the first list of its service.
    appeared: Option<MonoTime>,
    /// `None` while it is registered.
    removed: Option<MonoTime>,
}

/// Times at which this instance first saw the upstreams.
///
/// ```
/// use tc_policy::{Arrivals, SeenUpstream};
/// use tc_protocol::MonoTime;
/// let at = MonoTime::from_millis;
/// let seen = |id: &str| SeenUpstream { id: id.into(), service: "web".into(), slots: 8, has_home: false };
/// let mut arrivals = Arrivals::default();
/// arrivals.update(at(0), [seen("a~1"), seen("b~1")]);
/// assert!(!arrivals.is_new(at(0), &"a~1".into()));
/// assert_eq!(arrivals.update(at(500), [seen("a~2"), seen("b~1")]), [seen("a~2")]);
/// assert!(arrivals.is_new(at(600), &"a~2".into()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    seen: HashMap<UpstreamId, Seen>,
}

impl Arrivals {
    /// Sets the registered upstreams and returns the new ones. Those of the first list of their service are of unknown
    /// age.
    pub fn update(
        &mut self,
        now: MonoTime,
        registered: impl IntoIterator<Item = SeenUpstream>,
    ) -> Vec<SeenUpstream> {
        let services: HashSet<ServiceName> = self
            .seen
            .values()
            .map(|s| s.upstream.service.clone())
            .collect();
        for seen in self.seen.values_mut() {
            seen.removed = seen.removed.or(Some(now));
        }
        let mut new = Vec::new();
        for upstream in registered {
            if let Some(seen) = self.seen.get_mut(&upstream.id) {
                seen.removed = None;
                seen.upstream.slots = upstream.slots;
                continue;
            }
            let appeared = services.contains(&upstream.service).then_some(now);
            let seen = Seen {
                upstream: upstream.clone(),
                appeared,
                removed: None,
            };
            self.seen.insert(upstream.id.clone(), seen);
            if appeared.is_some() {
                new.push(upstream);
            }
        }
        self.remove_expired(now);
        new
    }

    /// Returns true if the upstream registered recently, after the first list.
    #[must_use]
    pub fn is_new(&self, now: MonoTime, id: &UpstreamId) -> bool {
        let appeared = self.seen.get(id).and_then(|seen| seen.appeared);
        appeared.is_some_and(|at| now.since(at) < NEW_FOR)
    }

    /// Returns an upstream if it is registered.
    #[must_use]
    pub fn registered(&self, id: &UpstreamId) -> Option<&SeenUpstream> {
        let seen = self.seen.get(id)?;
        seen.removed.is_none().then_some(&seen.upstream)
    }

    /// Returns the numbers of all and of new registered upstreams of a service.
    #[must_use]
    pub fn count(&self, now: MonoTime, service: &ServiceName) -> (usize, usize) {
        let of_service = self.seen.iter();
        let of_service = of_service
            .filter(|(_, seen)| seen.upstream.service == *service && seen.removed.is_none())
            .map(|(id, _)| id);
        let (mut all, mut new) = (0, 0);
        for id in of_service {
            all += 1;
            new += usize::from(self.is_new(now, id));
        }
        (all, new)
    }

    fn remove_expired(&mut self, now: MonoTime) {
        let removed = |seen: &Seen| seen.removed;
        self.seen
            .retain(|_, seen| removed(seen).is_none_or(|at| now.since(at) < RETENTION));
        let mut times: Vec<MonoTime> = self.seen.values().filter_map(removed).collect();
        if times.len() <= MAX_REMOVED {
            return;
        }
        times.sort_unstable();
        let oldest_kept = times[times.len() - MAX_REMOVED];
        self.seen
            .retain(|_, seen| removed(seen).is_none_or(|at| at >= oldest_kept));
    }
}
