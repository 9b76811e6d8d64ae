//! What is done by the clock: words among members, silent tasks, repair, members.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lynxmill::Span;
use lynxmill_consensus::BLANK_WAIT;
use lynxmill_protocol::{Asked, Heard};
use lynxmill_storage::{Batch, sum};

use crate::port::{Port, lock};

const TICK: Duration = Duration::from_millis(50);
/// Ticks between words, between looks at tasks, and between repairs.
const WORDS: u64 = 5;
const HEARD: u64 = 6;
const REPAIR: u64 = 20;
/// Ticks between two lines of counters.
const COUNTED: u64 = 200;
const PATIENCE: Duration = Duration::from_millis(900);

impl Port {
    fn words(&self) {
        let word = self.word();
        let (waiting, answers) = std::sync::mpsc::channel();
        for ip in self.peers.known() {
            self.peers.ask(&ip, Asked::Member(word.clone()), &waiting);
        }
        drop(waiting);
        while let Ok((_, said)) = answers.recv_timeout(Duration::from_millis(30)) {
            if let lynxmill_protocol::Said::Member(word) = said {
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
            (Heard { tasks: Vec::new(), ids, seqs }, yard.fallen(now), forgotten)
        };
        // What has been queued meanwhile goes to disk, whoever else writes.
        if let Err(fault) = self.store.flush(Batch { forgotten, ..Batch::default() }) {
            self.failed(&fault.to_string());
        }
        if !heard.ids.is_empty() {
            for ip in self.members().ips.iter().filter(|ip| **ip != self.me) {
                self.peers.tell(ip, Asked::Heard(heard.clone()));
            }
        }
        if !fallen.is_empty() {
            fallen.iter().for_each(|task| log::info!("task {} of {} is silent", task.id, task.service));
            self.told_edges(&fallen);
        }
    }

    /// Merges what others have merged; settles once a majority has been compared with.
    fn repair(&self) {
        let (items, merged, settled, blank, held) = {
            let core = lock(&self.core);
            let held = core.acceptor.value(crate::control::CALLS).map(<[u8]>::to_vec);
            (sum(&core.manifest), core.merged, core.settled, core.acceptor.blank, held)
        };
        let further = {
            let now = self.now();
            let words = lock(&self.words);
            let lately = |w: &&(&String, &crate::port::Word)| now - w.1.at < Span::from_secs(1.0);
            let best = words.iter().filter(|w| lately(&w)).max_by_key(|(_, w)| w.merged);
            // Copies that say the same of calls are compared by their digests.
            let differs = |w: &crate::port::Word| w.merged == merged && w.items != items;
            best.filter(|(_, w)| w.merged > merged || differs(w)).map(|(ip, _)| ip.clone())
        };
        if let Some(ip) = further {
            self.pull(&ip);
        }
        // A call that was accepted here, but of which nobody has told that it was agreed.
        let last = held.and_then(|value| prost::Message::decode(value.as_slice()).ok());
        let open = last.is_some_and(|calls: lynxmill_protocol::Calls| calls.last > merged);
        let due = !blank && (open || !settled);
        if due && self.newest(Instant::now() + PATIENCE) {
            self.settle();
        }
    }

    /// After a failed write: all of it once more, before any ballot is answered.
    fn heal(&self) {
        let ticket = {
            let core = lock(&self.core);
            if !core.unsound {
                return;
            }
            self.store.put(core.whole())
        };
        if self.store.wait(ticket).is_ok() {
            lock(&self.core).unsound = false;
            log::info!("the disk takes writes again");
        }
    }
}

pub fn run(port: Arc<Port>) {
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
        let settled = lock(&port.core).settled;
        if ticks.is_multiple_of(REPAIR) || (!settled && ticks.is_multiple_of(WORDS)) {
            port.repair();
        }
        if ticks % REPAIR == REPAIR / 2 {
            port.heal();
            port.tend_members();
        }
        let blank = lock(&port.core).acceptor.blank;
        if blank && ticks.is_multiple_of(WORDS) && port.now() - born > BLANK_WAIT {
            port.fill();
        }
    }
}
