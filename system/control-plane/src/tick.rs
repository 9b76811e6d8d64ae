//! What is done by the clock: words among members, silent tasks, repair, members.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lynxmill::Span;
use lynxmill_consensus::CATCH_UP_WAIT;
use lynxmill_protocol::{InstanceReport, PeerRequest};
use lynxmill_storage::{Batch, sum};

use crate::port::{ControlPlane, lock};

const TICK: Duration = Duration::from_millis(50);
/// Ticks between words, between looks at tasks, and between repairs.
const WORDS: u64 = 5;
const HEARD: u64 = 6;
const REPAIR: u64 = 20;
/// Ticks between two lines of counters.
const COUNTED: u64 = 200;
const PATIENCE: Duration = Duration::from_millis(900);

impl ControlPlane {
    fn words(&self) {
        let word = self.word();
        let (waiting, answers) = std::sync::mpsc::channel();
        for ip in self.peers.known() {
            self.peers.ask(&ip, PeerRequest::MemberStatus(word.clone()), &waiting);
        }
        drop(waiting);
        while let Ok((_, said)) = answers.recv_timeout(Duration::from_millis(30)) {
            if let lynxmill_protocol::PeerResponse::MemberStatus(word) = said {
                self.heard_word(&word);
            }
        }
    }

    /// Tells others who was heard here since the last time.
    fn tasks(&self, last: lynxmill::Moment) {
        let now = self.now();
        let (heard, fallen, forgotten) = {
            let mut yard = lock(&self.yard);
            let forgotten = yard.forgotten(now);
            let lately = yard.all().filter(|known| known.beat.is_some_and(|at| at >= last));
            let (ids, seqs) = lately.map(|k| (k.task.id.clone(), k.task.call_seq)).unzip();
            (InstanceReport { tasks: Vec::new(), ids, seqs }, yard.fallen(now), forgotten)
        };
        // What has been queued meanwhile goes to disk, whoever else writes.
        if let Err(fault) = self.store.flush(Batch { forgotten, ..Batch::default() }) {
            self.failed(&fault.to_string());
        }
        if !heard.ids.is_empty() {
            for ip in self.members().ips.iter().filter(|ip| **ip != self.me) {
                self.peers.tell(ip, PeerRequest::InstanceReport(heard.clone()));
            }
        }
        if !fallen.is_empty() {
            fallen.iter().for_each(|task| log::info!("task {} of {} is silent", task.id, task.service));
            self.told_edges(&fallen);
        }
    }

    /// Merges what others have merged; settles once a majority has been compared with.
    fn repair(&self) {
        let (items, merged, synchronized, catching_up, held) = {
            let core = lock(&self.core);
            let held = core.acceptor.value(crate::control::CALLS).map(<[u8]>::to_vec);
            (sum(&core.configuration), core.merged, core.synchronized, core.acceptor.catching_up, held)
        };
        let further = {
            let now = self.now();
            let words = lock(&self.words);
            let lately = |w: &&(&String, &crate::port::PeerStatus)| now - w.1.at < Span::from_secs(1.0);
            let best = words.iter().filter(|w| lately(&w)).max_by_key(|(_, w)| w.merged);
            // Copies that say the same of calls are compared by their digests.
            let differs = |w: &crate::port::PeerStatus| w.merged == merged && w.items != items;
            best.filter(|(_, w)| w.merged > merged || differs(w)).map(|(ip, _)| ip.clone())
        };
        if let Some(ip) = further {
            self.pull(&ip);
        }
        // A call that was accepted here, but of which nobody has told that it was agreed.
        let last = held.and_then(|value| prost::Message::decode(value.as_slice()).ok());
        let open = last.is_some_and(|calls: lynxmill_protocol::PendingChanges| calls.last > merged);
        let due = !catching_up && (open || !synchronized);
        if due && self.newest(Instant::now() + PATIENCE) {
            self.settle();
        }
    }

    /// After a failed write: all of it once more, before any ballot is answered.
    fn heal(&self) {
        let ticket = {
            let core = lock(&self.core);
            if !core.storage_failed {
                return;
            }
            self.store.put(core.whole())
        };
        if self.store.wait(ticket).is_ok() {
            lock(&self.core).storage_failed = false;
            log::info!("the disk takes writes again");
        }
    }
}

pub fn run(port: Arc<ControlPlane>) {
    let mut ticks = 0u64;
    let mut last = port.now();
    let born = port.now();
    loop {
        std::thread::sleep(TICK);
        ticks += 1;
        if ticks.is_multiple_of(WORDS) {
            port.words();
        }
        if ticks.is_multiple_of(COUNTED) {
            port.log_counters();
        }
        if ticks.is_multiple_of(HEARD) {
            let now = port.now();
            port.tasks(last);
            last = now;
            lock(&port.edges).tell_fleet();
        }
        let synchronized = lock(&port.core).synchronized;
        if ticks.is_multiple_of(REPAIR) || (!synchronized && ticks.is_multiple_of(WORDS)) {
            port.repair();
        }
        if ticks % REPAIR == REPAIR / 2 {
            port.heal();
            port.tend_members();
        }
        let catching_up = lock(&port.core).acceptor.catching_up;
        if catching_up && ticks.is_multiple_of(WORDS) && port.now() - born > CATCH_UP_WAIT {
            port.fill();
        }
    }
}
