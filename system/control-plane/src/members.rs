//! Who the members are, what they ask of each other, how one that catches up comes to count and copies are mended.

use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use lynxmill_consensus::{MembershipChange, majority};
use lynxmill_protocol::{
    EdgeWelcome, InstanceReport, MemberStatus, Membership, PeerRequest, PeerResponse, RangeRequest, Snapshot,
    State, Tasks, ToEdgeBody,
};
use lynxmill_storage::{Batch, differing, digests, sum};

use crate::port::{ControlPlane, PeerStatus, lock};

const ANSWERS: Duration = Duration::from_millis(400);
const CHANGE: Duration = Duration::from_millis(1_500);

impl ControlPlane {
    /// What this member tells of itself.
    pub fn word(&self) -> MemberStatus {
        let custody = self.in_custody();
        let tasks = lock(&self.yard).digest();
        let core = lock(&self.core);
        MemberStatus {
            tasks,
            ip: self.me.clone(),
            members: core.acceptor.members.clone(),
            items: sum(&core.configuration),
            merged: core.merged,
            leaving: self.leaving(),
            catching_up: core.acceptor.catching_up,
            custody,
            control: self.local.listen().control,
        }
    }

    pub fn heard_word(&self, word: &MemberStatus) {
        let now = self.now();
        lock(&self.roll).heard(now, word);
        self.compare_tasks(word);
        let told = PeerStatus {
            tasks: word.tasks,
            items: word.items,
            control: word.control.clone(),
            custody: word.custody.clone(),
            merged: word.merged,
            at: now,
        };
        lock(&self.words).insert(word.ip.clone(), told);
        self.know(&word.ip);
        self.agreed_members(&word.members);
    }

    /// A member that has twice told of other tasks than are known here missed words of them: it gets them all.
    fn compare_tasks(&self, word: &MemberStatus) {
        let before = lock(&self.words).get(&word.ip).map(|told| told.tasks);
        let now = self.now();
        let tasks: Vec<_> = {
            let yard = lock(&self.yard);
            if before != Some(word.tasks) || yard.digest() == word.tasks {
                return;
            }
            let lively = yard.all().filter(|k| !k.task.silent && k.task.state != State::Gone as i32);
            lively.map(|known| known.told(now)).collect()
        };
        self.count("tasks-retold");
        self.peers.tell(
            &word.ip,
            PeerRequest::InstanceReport(InstanceReport { tasks, ..InstanceReport::default() }),
        );
    }

    pub fn know(&self, ip: &str) {
        if ip != self.me {
            self.peers.know(ip, self.local.internal_port() + 1);
        }
    }

    /// Membership that were agreed.
    pub fn agreed_members(&self, members: &Membership) {
        let ticket = {
            let mut core = lock(&self.core);
            let was = core.acceptor.members.ips.contains(&self.me);
            if !core.acceptor.agreed(members) {
                return;
            }
            // Whoever comes to a seat, or lost its place in what was agreed, may not promise at once.
            if !was || core.acceptor.catching_up {
                lock(&self.leases).seated(self.now());
            }
            let is_voter = Some(!core.acceptor.catching_up);
            self.store.put(Batch { members: Some(members.clone()), is_voter, ..Batch::default() })
        };
        log::info!("members in epoch {}: {}", members.epoch, members.ips.join(" "));
        members.ips.iter().for_each(|ip| self.know(ip));
        let welcome = EdgeWelcome { name: self.local.node_name.clone(), members: members.ips.clone() };
        lock(&self.edges).push(ToEdgeBody::EdgeWelcome(welcome));
        if let Err(fault) = self.store.wait(ticket) {
            self.failed(&fault.to_string());
        }
    }

    pub fn tell_members(&self) {
        let word = self.word();
        for ip in self.peers.known() {
            self.peers.tell(&ip, PeerRequest::MemberStatus(word.clone()));
        }
    }

    /// What another asks or tells.
    pub fn asked(&self, body: PeerRequest) -> Option<PeerResponse> {
        Some(match body {
            PeerRequest::Prepare(asked) => PeerResponse::Promise(self.prepare(&asked)),
            PeerRequest::Accept(asked) => PeerResponse::Accepted(self.accept(&asked)),
            PeerRequest::Learn(calls) => PeerResponse::Yes(self.learn(&calls)),
            PeerRequest::LeaseRequest(asked) => {
                let members = self.members();
                PeerResponse::Yes(lock(&self.leases).ask(self.now(), &asked, &members))
            }
            PeerRequest::MemberStatus(word) => {
                self.heard_word(&word);
                PeerResponse::MemberStatus(self.word())
            }
            PeerRequest::InstanceReport(heard) => {
                self.heard(&heard);
                PeerResponse::Yes(true)
            }
            PeerRequest::RangeRequest(pick) => PeerResponse::Snapshot(self.dump(Some(&pick.digests))),
            PeerRequest::Whole(_) => PeerResponse::Snapshot(self.dump(None)),
        })
    }

    fn heard(&self, heard: &InstanceReport) {
        let now = self.now();
        let news: Vec<_> = {
            let mut yard = lock(&self.yard);
            let mut news: Vec<_> = heard.tasks.iter().filter(|task| yard.word(now, task)).cloned().collect();
            for (id, seq) in heard.ids.iter().zip(&heard.seqs) {
                if yard.heard(now, id, *seq) {
                    news.extend(yard.get(id).map(|known| known.told(now)));
                }
            }
            news
        };
        for task in news.iter().filter(|t| t.state == State::Gone as i32) {
            self.signed_off(&task.service, &task.id);
        }
        if !news.is_empty() {
            self.keep_tasks(&news);
            lock(&self.edges).push(ToEdgeBody::Tasks(Tasks { tasks: news, whole: false }));
        }
    }

    /// Copies for another: of ranges that differ, or of all and the registers as well.
    fn dump(&self, told: Option<&[u64]>) -> Snapshot {
        let core = lock(&self.core);
        let items = match told {
            Some(told) => differing(&core.configuration, told),
            None => core.configuration.items.values().cloned().collect(),
        };
        let registers =
            if told.is_none() { core.acceptor.registers.values().cloned().collect() } else { Vec::new() };
        Snapshot {
            merged: core.merged,
            items,
            registers,
            members: core.acceptor.members.clone(),
            catching_up: core.acceptor.catching_up || core.storage_failed,
        }
    }

    /// Takes from another what it has merged and this one has not; whether that went well.
    pub fn pull(&self, ip: &str) -> bool {
        let digests = digests(&lock(&self.core).configuration);
        let (waiting, answers) = channel();
        self.peers.ask(ip, PeerRequest::RangeRequest(RangeRequest { digests }), &waiting);
        drop(waiting);
        let Ok((_, PeerResponse::Snapshot(dump))) = answers.recv_timeout(ANSWERS) else { return false };
        self.count("pulled");
        self.merge(&dump.items, dump.merged);
        true
    }

    /// A member that catches up reads the others; from enough of them it counts.
    pub fn fill(&self) {
        let members = self.members();
        if !members.ips.contains(&self.me) {
            return;
        }
        let (waiting, answers) = channel();
        for ip in members.ips.iter().filter(|ip| **ip != self.me) {
            self.peers.ask(ip, PeerRequest::Whole(true), &waiting);
        }
        drop(waiting);
        let until = Instant::now() + ANSWERS;
        let mut dumps = Vec::new();
        while let Ok((_, said)) = answers.recv_timeout(until.saturating_duration_since(Instant::now())) {
            if let PeerResponse::Snapshot(dump) = said {
                dumps.push(dump);
            }
        }
        let (items, merged): (Vec<_>, u64) = (
            dumps.iter().flat_map(|d| d.items.clone()).collect(),
            dumps.iter().map(|d| d.merged).max().unwrap_or(0),
        );
        let ticket = {
            let mut core = lock(&self.core);
            if !core.acceptor.catching_up || !core.acceptor.merge(&dumps) {
                return;
            }
            for item in &items {
                core.configuration.merge(item);
            }
            core.services();
            core.merged = core.merged.max(merged);
            // Not before it is on disk.
            core.acceptor.catching_up = true;
            self.store.put(Batch { is_voter: Some(true), ..core.whole() })
        };
        match self.store.wait(ticket) {
            Ok(()) => {
                lock(&self.core).acceptor.catching_up = false;
                log::info!("it is_voter: all that was agreed has been read from others");
                self.count("filled");
            }
            Err(fault) => self.failed(&fault.to_string()),
        }
    }

    /// A member that leaves, is silent or has a newcomer waiting for it.
    pub fn tend_members(&self) {
        let members = self.members();
        if !members.ips.contains(&self.me) || lock(&self.core).acceptor.catching_up {
            return;
        }
        let due = lock(&self.roll).due(self.now(), &self.me, &members);
        if let MembershipChange::To(next) = due {
            let what = next.ips.join(" ");
            match self.change_members(Some(next), Instant::now() + CHANGE) {
                Ok(_) => self.count("members-changed"),
                Err(fault) => log::warn!("the members can't be changed to {what}: {fault}"),
            }
        }
    }

    /// Whether a majority was heard of lately.
    pub fn in_majority(&self) -> bool {
        let members = self.members();
        let (now, roll) = (self.now(), lock(&self.roll));
        let well = |ip: &&String| **ip == self.me || roll.heard_lately(now, ip);
        !members.ips.is_empty() && members.ips.iter().filter(well).count() >= majority(&members)
    }
}
