//! Homes of services, computed once for each change of the members or services.

use std::{collections::BTreeMap, sync::Arc};

use arc_swap::ArcSwap;
use tc_membership::{home_of, spread_homes};
use tc_protocol::{Member, ServiceName};

#[derive(Debug, Default)]
struct Placed {
    members: Arc<Vec<Member>>,
    services: Arc<Vec<ServiceName>>,
    homes: BTreeMap<ServiceName, Member>,
}

/// The services that have homes, and where they are.
///
/// ```
/// use std::sync::Arc;
/// use tc_fleet::HomeTable;
/// let homes = HomeTable::default();
/// assert!(homes.set_services(vec!["generate".into()]));
/// assert_eq!(homes.home("generate", &Arc::default()), None, "there are no members");
/// ```
#[derive(Debug, Default)]
pub struct HomeTable {
    services: ArcSwap<Vec<ServiceName>>,
    placed: ArcSwap<Placed>,
}

impl HomeTable {
    /// Replaces the services, those with the most work at their homes first. Returns true if they have changed.
    pub fn set_services(&self, services: Vec<ServiceName>) -> bool {
        let is_change = **self.services.load() != services;
        if is_change {
            self.services.store(Arc::new(services));
        }
        is_change
    }

    /// Returns the home of a key among these members. A key that is no known service is placed by itself.
    #[must_use]
    pub fn home(&self, key: &str, members: &Arc<Vec<Member>>) -> Option<Member> {
        let services = self.services.load_full();
        let placed = self.placed.load();
        let is_current =
            Arc::ptr_eq(&placed.members, members) && Arc::ptr_eq(&placed.services, &services);
        if is_current {
            return placed.home(key);
        }
        let placed = Placed {
            members: Arc::clone(members),
            homes: place(&services, members),
            services,
        };
        let home = placed.home(key);
        self.placed.store(Arc::new(placed));
        home
    }

    /// Returns the home of a key if only these members were there.
    #[must_use]
    pub fn home_among(&self, key: &str, members: &[Member]) -> Option<Member> {
        let services = self.services.load();
        let placed = place(&services, members).remove(key);
        placed.or_else(|| home_of(key, members, None, None).cloned())
    }
}

impl Placed {
    fn home(&self, key: &str) -> Option<Member> {
        let placed = self.homes.get(key).cloned();
        placed.or_else(|| home_of(key, &self.members, None, None).cloned())
    }
}

fn place(services: &[ServiceName], members: &[Member]) -> BTreeMap<ServiceName, Member> {
    let homes = spread_homes(services.iter().map(ServiceName::as_str), members);
    let owned = homes.into_iter();
    owned
        .map(|(service, home)| (service.into(), home.clone()))
        .collect()
}
