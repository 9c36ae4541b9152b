//! The route from an entry to the home of an upstream, and guards that cancel requests and release permits over it.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use ractor::ActorRef;
use tc_protocol::{FleetView, InstanceId, PermitId, Release, UpstreamId};

use crate::{
    homes::{HomeAnswer, HomeVerdict, HomesMsg},
    peers::{PeerPool, ToHome, unused_release},
};

/// Route to the home of an upstream. It does not block, so it can be used in a destructor.
pub(super) struct Route {
    pub(super) upstream: UpstreamId,
    pub(super) home: InstanceId,
    pub(super) me: InstanceId,
    pub(super) view: Arc<ArcSwap<FleetView>>,
    pub(super) peers: Arc<PeerPool>,
    pub(super) homes: ActorRef<HomesMsg>,
}

impl Route {
    pub(super) fn release(&self, release: Release) {
        let upstream = self.upstream.clone();
        if self.home == self.me {
            let _ = self.homes.cast(HomesMsg::Release { upstream, release });
        } else if let Some(member) = self.view.load().member(&self.home) {
            self.peers
                .get(member)
                .send(ToHome::Release { upstream, release });
        }
    }

    pub(super) fn cancel(&self, number: u64) {
        if self.home == self.me {
            let _ = self.homes.cast(HomesMsg::Cancel {
                upstream: Some(self.upstream.clone()),
                entry: self.me.clone(),
                number,
            });
        } else if let Some(member) = self.view.load().member(&self.home) {
            self.peers.get(member).send(ToHome::Cancel(number));
        }
    }
}

/// Cancels the permit request at its home if the requesting future is dropped before the answer.
pub(super) struct CancelGuard {
    pub(super) route: Option<Route>,
    pub(super) number: u64,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(route) = self.route.take() {
            route.cancel(self.number);
        }
    }
}

/// A grant that releases itself when dropped, unless it was turned into a permit.
pub(super) struct Granted {
    pub(super) route: Option<Route>,
    pub(super) permit: PermitId,
    pub(super) expires_in: Duration,
    pub(super) waited: Duration,
}

impl Granted {
    pub(super) fn disarm(mut self) -> (PermitId, Duration, Duration) {
        self.route = None;
        (self.permit, self.expires_in, self.waited)
    }
}

impl Drop for Granted {
    fn drop(&mut self) {
        if let Some(route) = self.route.take() {
            route.release(unused_release(self.permit));
        }
    }
}

/// Returns the grant with its guard, or any other verdict as the error.
pub(super) fn into_granted(answer: HomeAnswer, route: Route) -> Result<Granted, HomeVerdict> {
    match answer.verdict {
        HomeVerdict::Granted {
            permit,
            expires_in,
            waited,
        } => Ok(Granted {
            route: Some(route),
            permit,
            expires_in,
            waited,
        }),
        verdict => Err(verdict),
    }
}
