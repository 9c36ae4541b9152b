//! One instance's view of a lease kept in a platform object, whose version is the fencing number.

use std::time::Duration;

use tc_protocol::{Incarnation, InstanceId, MonoTime};

/// Part of its time a lease has left when it is due for renewal.
const RENEW_AT_REMAINING: u32 = 2;
/// Divisor to the above: renewal is due with two thirds of the time left.
const RENEW_AT_PARTS: u32 = 3;

/// Who holds a lease: one life of one instance. A restarted instance does not hold what its predecessor did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The instance.
    pub id: InstanceId,
    /// Which life of its process.
    pub incarnation: Incarnation,
}

#[derive(Clone, Debug)]
struct Seen {
    holder: Option<Holder>,
    version: u64,
    since: MonoTime,
}

#[derive(Clone, Debug)]
struct Held {
    fence: u64,
    expires: MonoTime,
    /// Set by a pause: the lease may have lapsed and been taken while this process was not running.
    stale: bool,
}

/// Whether this instance may act as the holder of one lease.
///
/// The clocks of instances are never compared. A holder counts its time from before it sent its write, others count
/// from when they first saw the version; so the holder stops before anyone else may start. What the two clocks' rates
/// differ by, and a pause between check and act, is caught by the fencing number.
#[derive(Clone, Debug)]
pub struct LeaseState {
    me: Holder,
    ttl: Duration,
    held: Option<Held>,
    seen: Option<Seen>,
}

impl LeaseState {
    /// A lease of duration `ttl` that is not known to be held by anyone.
    #[must_use]
    pub fn new(me: Holder, ttl: Duration) -> Self {
        Self {
            me,
            ttl,
            held: None,
            seen: None,
        }
    }

    /// Our write, sent at `sent_at`, took effect as `version`: told by its answer, or by reading it back.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tc_membership::{Holder, LeaseState};
    /// use tc_protocol::{Incarnation, MonoTime};
    /// let me = Holder { id: "kl-a-1".into(), incarnation: Incarnation(1) };
    /// let mut lease = LeaseState::new(me, Duration::from_secs(3));
    /// lease.written(MonoTime::from_millis(0), 7);
    /// assert!(lease.may_act(MonoTime::from_millis(2_000), Duration::from_millis(500)));
    /// assert!(!lease.may_act(MonoTime::from_millis(2_500), Duration::from_millis(500)));
    /// assert_eq!(lease.fence(), Some(7));
    /// ```
    pub fn written(&mut self, sent_at: MonoTime, version: u64) {
        // An answer that comes late, after a higher version was read: someone else has written since, so taking it for
        // a holding would have two instances act at once.
        if self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version > version)
        {
            return;
        }
        self.held = Some(Held {
            fence: version,
            expires: sent_at.after(self.ttl),
            stale: false,
        });
        self.seen = Some(Seen {
            holder: Some(self.me.clone()),
            version,
            since: sent_at,
        });
    }

    /// The platform's object was read: its holder (`None` when released or absent) and version.
    ///
    /// Another holder, or a version we did not write, ends our holding.
    pub fn observed(&mut self, now: MonoTime, holder: Option<Holder>, version: u64) {
        if self
            .seen
            .as_ref()
            .is_some_and(|seen| version < seen.version)
        {
            return;
        }
        let is_ours = holder.as_ref() == Some(&self.me);
        let other_write = self.held.as_ref().is_some_and(|held| held.fence != version);
        if !is_ours || other_write {
            self.held = None;
        }
        if self.seen.as_ref().is_none_or(|seen| version > seen.version) {
            self.seen = Some(Seen {
                holder,
                version,
                since: now,
            });
        }
    }

    /// A conditional write of ours failed: someone else wrote, so we hold nothing.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// This process was paused: it may not act until a write of its own succeeds again.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tc_membership::{Holder, LeaseState};
    /// use tc_protocol::{Incarnation, MonoTime};
    /// let me = Holder { id: "kl-a-1".into(), incarnation: Incarnation(1) };
    /// let mut lease = LeaseState::new(me, Duration::from_secs(3));
    /// lease.written(MonoTime::from_millis(0), 7);
    /// lease.woke();
    /// let now = MonoTime::from_millis(100);
    /// assert!(!lease.may_act(now, Duration::ZERO));
    /// assert!(lease.renew_due(now));
    /// ```
    pub fn woke(&mut self) {
        if let Some(held) = &mut self.held {
            held.stale = true;
        }
    }

    /// Whether this instance holds the lease for at least `margin` more.
    #[must_use]
    pub fn may_act(&self, now: MonoTime, margin: Duration) -> bool {
        self.held
            .as_ref()
            .is_some_and(|held| !held.stale && now.after(margin) < held.expires)
    }

    /// Whether the lease should be written again now to keep it.
    #[must_use]
    pub fn renew_due(&self, now: MonoTime) -> bool {
        let before_end = self.ttl * RENEW_AT_REMAINING / RENEW_AT_PARTS;
        self.held
            .as_ref()
            .is_some_and(|held| held.stale || now.after(before_end) >= held.expires)
    }

    /// Whether this instance may try to take the lease: nobody holds it, or its version has not changed for its whole
    /// duration and `margin` since this instance first saw it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tc_membership::{Holder, LeaseState};
    /// use tc_protocol::{Incarnation, MonoTime};
    /// let holder = |id: &str| Holder { id: id.into(), incarnation: Incarnation(1) };
    /// let mut lease = LeaseState::new(holder("kl-a-1"), Duration::from_secs(3));
    /// let margin = Duration::from_millis(500);
    /// lease.observed(MonoTime::from_millis(0), Some(holder("kl-a-2")), 7);
    /// assert!(!lease.may_take(MonoTime::from_millis(3_000), margin));
    /// assert!(lease.may_take(MonoTime::from_millis(3_500), margin));
    /// ```
    #[must_use]
    pub fn may_take(&self, now: MonoTime, margin: Duration) -> bool {
        if self.held.is_some() {
            return false;
        }
        self.seen
            .as_ref()
            .is_some_and(|seen| seen.holder.is_none() || now.since(seen.since) >= self.ttl + margin)
    }

    /// The fencing number to act under, while the lease is held.
    #[must_use]
    pub fn fence(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.fence)
    }

    /// The version a conditional write must name; `None` before the object was read.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.seen.as_ref().map(|seen| seen.version)
    }

    /// Who holds the lease as far as this instance has read.
    #[must_use]
    pub fn holder(&self) -> Option<&Holder> {
        self.seen.as_ref()?.holder.as_ref()
    }
}
