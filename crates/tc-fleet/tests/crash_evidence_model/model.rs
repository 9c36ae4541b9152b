//! Instances, the crashes that they see, and the evidence that they send each other.
//!
//! Time is simulated; evidence, its holders and its merging are those of the product.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};
use tc_membership::home_and_copies;
use tc_policy::{CrashEvidence, SuspectPolicy, Suspects, Trial};
use tc_protocol::{Fingerprint, Incarnation, InstanceId, Member, MemberState, MonoTime};

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 30_000;
/// Time after which the rules bind an instance, and for which it has to run before.
const CONTACT_MS: u64 = 3_000;
/// Time until the others know that an instance is gone.
const DETECTION_MS: u64 = 1_000;
const RESTART_MS: u64 = 1_500;
const RUN_MS: u64 = 40;
const CALL_MS: u64 = 10;
const DATAGRAM_LOSS: f64 = 0.05;
const EVIDENCE_PER_DATAGRAM: usize = 8;
const KEY: &str = "suspects/web";
const CULPRITS: u64 = 4;
/// Crashes from which a request runs only as a trial.
const CRASHES_TO_TRIAL: u32 = 2;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sharing {
    /// The evidence stays at the home, and other instances learn of suspects from their own crashes only.
    Home,
    /// The home and two copies have the evidence.
    Copies,
    /// Copies, and gossip of what was in several crashes.
    All,
}

#[derive(Clone, Copy)]
pub(crate) enum Losses {
    /// The home is killed every two seconds.
    Homes,
    /// Three in five instances are killed at once, twice.
    Most,
    /// Half of the instances are isolated and not again, each second anew.
    Isolation,
}

struct Node {
    member: Member,
    started: u64,
    suspects: Suspects,
}

enum Event {
    Crash {
        by: InstanceId,
        input: Fingerprint,
        number: u64,
        was_trial: bool,
    },
    Report {
        to: InstanceId,
        input: Fingerprint,
        number: u64,
        was_trial: bool,
        announce: bool,
    },
    Evidence {
        to: InstanceId,
        evidence: Vec<CrashEvidence>,
    },
    Start {
        domain: String,
    },
}

pub(crate) struct Model {
    rng: SmallRng,
    sharing: Sharing,
    now: u64,
    nodes: BTreeMap<InstanceId, Node>,
    /// When an instance that is gone was killed.
    gone: BTreeMap<InstanceId, (u64, Member)>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_id: u64,
    crashes: u64,
    crash_times: BTreeMap<Fingerprint, Vec<u64>>,
    /// Runs that an instance in touch started, by input.
    runs: BTreeMap<Fingerprint, Vec<u64>>,
}

fn policy() -> SuspectPolicy {
    SuspectPolicy {
        crashes_to_quarantine: 3,
        crashes_to_quarantine_part: 4,
        crashes_to_trial: CRASHES_TO_TRIAL,
        needs_lone_crash: true,
        trial_delay: std::time::Duration::from_millis(250),
        quarantine_duration: Some(std::time::Duration::from_mins(10)),
    }
}

impl Model {
    pub(crate) fn new(seed: u64, size: usize, sharing: Sharing) -> Self {
        let mut model = Self {
            rng: SmallRng::seed_from_u64(seed),
            sharing,
            now: 0,
            nodes: BTreeMap::new(),
            gone: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_id: 0,
            crashes: 0,
            crash_times: BTreeMap::new(),
            runs: BTreeMap::new(),
        };
        for number in 0..size {
            model.start(&format!("d{}", number % 4));
        }
        model
    }

    fn start(&mut self, domain: &str) {
        self.next_id += 1;
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let member = Member {
            id: format!("i{}", self.next_id).as_str().into(),
            incarnation: Incarnation(1),
            caller_address: address,
            fleet_address: address,
            failure_domain: domain.into(),
            region: "r".into(),
            state: MemberState::Alive,
            strength: Member::default_strength(),
        };
        let node = Node {
            member: member.clone(),
            started: self.now,
            suspects: Suspects::with_policy(policy()),
        };
        self.nodes.insert(member.id, node);
    }

    fn time(&self) -> MonoTime {
        MonoTime::from_millis(self.now + 1)
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now + ms, self.next_event), event);
    }

    /// Returns the members as the instances know them: those killed a moment ago still count as alive.
    fn members(&self) -> Vec<Member> {
        let fresh = self
            .gone
            .values()
            .filter(|(at, _)| self.now < at + DETECTION_MS);
        let gone = fresh.map(|(_, member)| member.clone());
        self.nodes
            .values()
            .map(|node| node.member.clone())
            .chain(gone)
            .collect()
    }

    fn holders(&self) -> Vec<InstanceId> {
        let copies = if self.sharing == Sharing::Home { 0 } else { 2 };
        let members = self.members();
        let holders = home_and_copies(KEY, &members, copies);
        holders
            .into_iter()
            .map(|member| member.id.clone())
            .collect()
    }

    fn kill(&mut self, id: &InstanceId) {
        if let Some(node) = self.nodes.remove(id) {
            let domain = node.member.failure_domain.as_str().to_owned();
            self.gone.insert(id.clone(), (self.now, node.member));
            self.after(RESTART_MS, Event::Start { domain });
        }
    }

    fn random_node(&mut self) -> InstanceId {
        let index = self.rng.random_range(0..self.nodes.len());
        self.nodes.keys().nth(index).expect("a node").clone()
    }

    /// Sends an input to an instance, which runs it unless it is refused.
    fn send(&mut self, input: Fingerprint) {
        let (id, now) = (self.random_node(), self.time());
        let node = &self.nodes[&id];
        if node.suspects.is_quarantined(input) {
            return;
        }
        let evidence = node.suspects.evidence_of(now, input);
        let is_in_touch = self.now >= node.started + CONTACT_MS;
        let holders = self.holders();
        let home = holders
            .iter()
            .find(|holder| self.nodes.contains_key(*holder));
        let home = home.and_then(|home| self.nodes.get_mut(home));
        let mut was_trial = false;
        if let (Some(home), Some(evidence)) = (home, evidence) {
            home.suspects.merge(now, &evidence);
            was_trial = home.suspects.crash_count(input) >= CRASHES_TO_TRIAL as usize;
            if home.suspects.try_trial(now, input) != Trial::Run {
                return;
            }
        }
        if is_in_touch {
            self.runs.entry(input).or_default().push(self.now);
        }
        self.crashes += 1;
        let number = self.crashes;
        self.after(
            RUN_MS,
            Event::Crash {
                by: id,
                input,
                number,
                was_trial,
            },
        );
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Crash {
                by,
                input,
                number,
                was_trial,
            } => {
                self.crash_times.entry(input).or_default().push(self.now);
                if self.sharing != Sharing::Home {
                    self.record(&by, (input, number, was_trial), false);
                }
                let mut announce = true;
                for to in self.holders() {
                    let is_alive = self.nodes.contains_key(&to) && self.nodes.contains_key(&by);
                    self.after(
                        CALL_MS,
                        Event::Report {
                            to,
                            input,
                            number,
                            was_trial,
                            announce,
                        },
                    );
                    announce &= !is_alive;
                }
            }
            Event::Report {
                to,
                input,
                number,
                was_trial,
                announce,
            } => self.record(&to, (input, number, was_trial), announce),
            Event::Evidence { to, evidence } => {
                let now = self.time();
                if let Some(node) = self.nodes.get_mut(&to) {
                    for evidence in evidence {
                        node.suspects.merge(now, &evidence);
                    }
                }
            }
            Event::Start { domain } => self.start(&domain),
        }
    }

    fn record(
        &mut self,
        at: &InstanceId,
        (input, number, was_trial): (Fingerprint, u64, bool),
        announce: bool,
    ) {
        let now = self.time();
        let Some(node) = self.nodes.get_mut(at) else {
            return;
        };
        let upstream = format!("web-{number}").as_str().into();
        if was_trial {
            node.suspects
                .record_lone_crash(now, &upstream, Incarnation(1), input);
        } else {
            node.suspects
                .record_crash(now, &upstream, Incarnation(1), &[input]);
        }
        if announce && self.sharing == Sharing::All {
            let others: Vec<InstanceId> =
                self.nodes.keys().filter(|id| *id != at).cloned().collect();
            for to in others {
                self.datagram(at, to);
            }
        }
    }

    fn datagram(&mut self, from: &InstanceId, to: InstanceId) {
        let now = self.time();
        let Some(node) = self.nodes.get_mut(from) else {
            return;
        };
        let evidence = node.suspects.evidence_to_send(now, EVIDENCE_PER_DATAGRAM);
        if evidence.is_empty() {
            return;
        }
        if !self.rng.random_bool(DATAGRAM_LOSS) {
            self.after(2, Event::Evidence { to, evidence });
        }
    }

    /// Lets each instance probe another one, which answers. Both datagrams carry evidence.
    fn gossip(&mut self) {
        let ids: Vec<InstanceId> = self.nodes.keys().cloned().collect();
        for id in ids {
            let other = self.random_node();
            self.datagram(&id, other.clone());
            self.datagram(&other, id);
        }
    }

    fn lose(&mut self, losses: Losses) {
        match losses {
            Losses::Homes if self.now % 2_000 == 1_000 => {
                if let Some(home) = self.holders().first().cloned() {
                    self.kill(&home);
                }
            }
            Losses::Most if self.now == 4_000 || self.now == 16_000 => {
                let ids: Vec<InstanceId> = self.nodes.keys().cloned().collect();
                let mut left = ids.len() * 3 / 5;
                // The home and its copies are among them.
                let holders: BTreeSet<InstanceId> = self.holders().into_iter().collect();
                for id in holders
                    .iter()
                    .chain(ids.iter().filter(|id| !holders.contains(*id)))
                {
                    if left > 0 {
                        self.kill(id);
                        left -= 1;
                    }
                }
            }
            Losses::Isolation if self.now.is_multiple_of(1_000) => {
                for node in self.nodes.values_mut() {
                    let isolated = self.rng.next_u32().is_multiple_of(2);
                    node.member.state = if isolated {
                        MemberState::Isolated
                    } else {
                        MemberState::Alive
                    };
                }
            }
            _ => {}
        }
    }

    /// Returns the most late runs of an input.
    pub(crate) fn play(&mut self, losses: Losses) -> usize {
        // Probe intervals grow with the logarithm of the number of instances.
        let interval = (self.nodes.len().max(8) as f64).log2() / 3.0 * 300.0;
        let interval = interval as u64 / STEP_MS * STEP_MS;
        while self.now < LENGTH_MS {
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now
            {
                let event = entry.remove();
                self.handle(event);
            }
            self.lose(losses);
            for input in 1..=CULPRITS {
                if self.rng.random_bool(STEP_MS as f64 / 250.0) {
                    self.send(Fingerprint(input));
                }
            }
            if self.sharing == Sharing::All && self.now.is_multiple_of(interval) {
                self.gossip();
            }
            self.now += STEP_MS;
        }
        let late = |(input, crashes): (&Fingerprint, &Vec<u64>)| {
            let bound = crashes.get(2)? + CONTACT_MS;
            let runs = self.runs.get(input)?;
            Some(runs.iter().filter(|at| **at > bound).count())
        };
        self.crash_times.iter().filter_map(late).max().unwrap_or(0)
    }
}
