//! Word of tasks: heartbeats, drains, sign-offs, and what members tell each other of them. That a task drains
//! or is gone is acknowledged only once as many members that stay have it as survive what may be lost.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_consensus::InstanceRegistry;
use lynxmill_protocol::{InstanceReport, PeerRequest, State, Task, Tasks, ToEdgeBody};
use lynxmill_storage::Batch;
use lynxmill_time::{TimeDelta, Timestamp};

use crate::event::Event;
use crate::messages::{Answer, CallId, HeartbeatAnswer, InstanceHeartbeat, Unavailable};
use crate::node::ControlNode;
use crate::outstanding::Awaited;

/// How long other members may take to have a drain; the task waits a second for its answer.
const REPLICATION: TimeDelta = TimeDelta::from_micros(700_000);
/// After so long without enough answers, a drain is told once more.
const RETRY: TimeDelta = TimeDelta::from_micros(250_000);
/// Between two reports of who was heard.
const REPORT: TimeDelta = TimeDelta::from_micros(300_000);

/// What is answered once enough members have a word.
#[derive(Clone, Debug)]
enum Continuation {
    Heartbeat(Box<InstanceHeartbeat>),
    SignOff,
}

#[derive(Debug)]
struct Replication {
    call: CallId,
    task: Task,
    needed: usize,
    copies: BTreeSet<String>,
    until: Timestamp,
    next_try: Timestamp,
    then: Continuation,
}

#[derive(Debug)]
pub(crate) struct Instances {
    pub registry: InstanceRegistry,
    replications: BTreeMap<u64, Replication>,
    last_number: u64,
    last_report: Timestamp,
}

impl Instances {
    pub fn new(registry: InstanceRegistry) -> Self {
        Instances {
            registry,
            replications: BTreeMap::new(),
            last_number: 0,
            last_report: Timestamp::default(),
        }
    }
}

impl ControlNode {
    pub(crate) fn instance_heartbeat(
        &mut self,
        now: Timestamp,
        call: CallId,
        heartbeat: InstanceHeartbeat,
    ) {
        self.count("beats");
        let task = heartbeat.task.clone();
        let known = self.instances.registry.get(&task.id);
        let late = known.is_some_and(|known| known.task.call_seq > task.call_seq);
        let is_news = self.instances.registry.word(now, &task);
        if is_news {
            self.tell_edges_tasks(vec![task.clone()]);
            self.store_tasks(std::slice::from_ref(&task));
        }
        if !late {
            self.instances.registry.beaten(now, &task.id);
        }
        // An overtaken heartbeat may still be the first word that the task drains: none is acknowledged
        // untold.
        if task.state != State::Ready as i32 {
            return self.replicate(
                now,
                call,
                task,
                Continuation::Heartbeat(Box::new(heartbeat)),
            );
        }
        if is_news {
            let report = InstanceReport {
                tasks: vec![task],
                ..InstanceReport::default()
            };
            for ip in self.other_members() {
                self.tell(&ip, PeerRequest::InstanceReport(report.clone()));
            }
        }
        self.answer_heartbeat(now, call, &heartbeat);
    }

    fn answer_heartbeat(&mut self, now: Timestamp, call: CallId, heartbeat: &InstanceHeartbeat) {
        let task = &heartbeat.task;
        if !self.in_contact(now) {
            self.count("beats-cut-off");
            return self.answer(call, Answer::Unavailable(Unavailable::NoContact));
        }
        let known = self.instances.registry.get(&task.id);
        if known.is_some_and(|known| known.task.call_seq > task.call_seq) {
            self.count("beats-late");
            return self.answer(call, Answer::Heartbeat(HeartbeatAnswer::default()));
        }
        let sharded = self
            .sharded
            .iter()
            .any(|service| service.name == task.service);
        let answer = if sharded {
            self.grant(now, heartbeat)
        } else {
            Some(HeartbeatAnswer::default())
        };
        match answer {
            // An answer without holdings renews nothing: the task asks the owner at once, not with its next
            // heartbeat.
            Some(HeartbeatAnswer {
                beat_target: Some(owner),
                holdings: None,
            }) => {
                self.count("beats-redirected");
                self.answer(call, Answer::Redirect(owner));
            }
            Some(answer) => self.answer(call, Answer::Heartbeat(answer)),
            // Nobody may grant: the task asks again soon, at another, and not only with its next heartbeat.
            None => {
                self.count("beats-no-custodian");
                self.answer(call, Answer::Unavailable(Unavailable::NoOwner));
            }
        }
    }

    pub(crate) fn instance_signs_off(&mut self, now: Timestamp, call: CallId, id: &str) {
        // One that has not been heard of here may be known elsewhere: its name alone is told.
        let unknown = || Task {
            id: id.to_owned(),
            state: State::Gone as i32,
            ..Task::default()
        };
        let task = self.instances.registry.gone(id).unwrap_or_else(unknown);
        self.instance_gone(&task);
        self.tell_edges_tasks(vec![task.clone()]);
        self.store_tasks(std::slice::from_ref(&task));
        self.replicate(now, call, task, Continuation::SignOff);
    }

    // --- copies at other members ---

    /// How many other members have to have a word: as many as may be lost, and one more if this node leaves.
    fn copies_needed(&self) -> usize {
        let survivors = self.options.core_size / 2 + usize::from(self.departure.is_some());
        survivors.min(self.other_members().len())
    }

    fn replicate(&mut self, now: Timestamp, call: CallId, task: Task, then: Continuation) {
        let needed = self.copies_needed();
        let until = now + REPLICATION;
        let (copies, next_try) = (BTreeSet::new(), now + RETRY);
        self.instances.last_number += 1;
        let number = self.instances.last_number;
        let replication = Replication {
            call,
            task,
            needed,
            copies,
            until,
            next_try,
            then,
        };
        self.instances.replications.insert(number, replication);
        if needed == 0 {
            return self.finish_replication(now, number);
        }
        self.ask_for_copies(now, number);
    }

    fn ask_for_copies(&mut self, now: Timestamp, number: u64) {
        let Some(replication) = self.instances.replications.get_mut(&number) else {
            return;
        };
        replication.next_try = now + RETRY;
        let report = InstanceReport {
            tasks: vec![replication.task.clone()],
            ..InstanceReport::default()
        };
        let copies = replication.copies.clone();
        for ip in self
            .other_members()
            .into_iter()
            .filter(|ip| !copies.contains(ip))
        {
            let body = PeerRequest::InstanceReport(report.clone());
            self.ask(now, &ip, body, Awaited::Replication(number));
        }
    }

    pub(crate) fn replicated(&mut self, now: Timestamp, number: u64, from: &str) {
        if !self.acceptor.members.ips.iter().any(|ip| ip == from) {
            return;
        }
        let Some(replication) = self.instances.replications.get_mut(&number) else {
            return;
        };
        replication.copies.insert(from.to_owned());
        if replication.copies.len() >= replication.needed {
            self.finish_replication(now, number);
        }
    }

    fn finish_replication(&mut self, now: Timestamp, number: u64) {
        let Some(replication) = self.instances.replications.remove(&number) else {
            return;
        };
        match replication.then {
            Continuation::SignOff => {
                self.answer(
                    replication.call,
                    Answer::Heartbeat(HeartbeatAnswer::default()),
                );
            }
            Continuation::Heartbeat(heartbeat) => {
                self.answer_drain(now, replication.call, &heartbeat)
            }
        }
    }

    /// A drain is acknowledged even where nobody may grant: the task leaves in any case.
    fn answer_drain(&mut self, now: Timestamp, call: CallId, heartbeat: &InstanceHeartbeat) {
        if !self.in_contact(now) {
            self.count("beats-cut-off");
            return self.answer(call, Answer::Unavailable(Unavailable::NoContact));
        }
        let sharded = self
            .sharded
            .iter()
            .any(|service| service.name == heartbeat.task.service);
        let granted = if sharded {
            self.grant(now, heartbeat)
        } else {
            None
        };
        self.answer(call, Answer::Heartbeat(granted.unwrap_or_default()));
    }

    fn tend_replications(&mut self, now: Timestamp) {
        let replications = &self.instances.replications;
        let late: Vec<u64> = replications
            .iter()
            .filter(|(_, r)| now >= r.until)
            .map(|(n, _)| *n)
            .collect();
        for number in late {
            if let Some(replication) = self.instances.replications.remove(&number) {
                self.count("drains-alone");
                self.answer(
                    replication.call,
                    Answer::Unavailable(Unavailable::TooFewCopies),
                );
            }
        }
        let replications = &self.instances.replications;
        let due: Vec<u64> = replications
            .iter()
            .filter(|(_, r)| now >= r.next_try)
            .map(|(n, _)| *n)
            .collect();
        due.into_iter()
            .for_each(|number| self.ask_for_copies(now, number));
    }

    // --- what members tell each other ---

    /// Another member's word of tasks; whether this node keeps it for as long as any member does.
    pub(crate) fn heard_instances(&mut self, now: Timestamp, report: &InstanceReport) -> bool {
        let registry = &mut self.instances.registry;
        let mut news: Vec<Task> = report
            .tasks
            .iter()
            .filter(|task| registry.word(now, task))
            .cloned()
            .collect();
        for (id, seq) in report.ids.iter().zip(&report.seqs) {
            if registry.heard(now, id, *seq) {
                news.extend(registry.get(id).map(|known| known.told(now)));
            }
        }
        for task in news.iter().filter(|task| task.state == State::Gone as i32) {
            self.instance_gone(task);
        }
        if !news.is_empty() {
            self.store_tasks(&news);
            self.tell_edges_tasks(news);
        }
        self.departure.is_none() && !self.acceptor.catching_up && self.is_member()
    }

    /// A member that has twice told of other tasks than are known here missed words of them: it gets them
    /// all.
    pub(crate) fn retell_instances(&mut self, now: Timestamp, ip: &str) {
        let Some(peer) = self.statuses.get(ip) else {
            return;
        };
        if !peer.same_tasks || peer.status.tasks == self.instances.registry.digest() {
            return;
        }
        let tasks = self.lively_tasks(now);
        self.count("tasks-retold");
        let report = InstanceReport {
            tasks,
            ..InstanceReport::default()
        };
        self.tell(ip, PeerRequest::InstanceReport(report));
    }

    fn lively_tasks(&self, now: Timestamp) -> Vec<Task> {
        let all = self.instances.registry.all();
        let lively =
            all.filter(|known| !known.task.silent && known.task.state != State::Gone as i32);
        lively.map(|known| known.told(now)).collect()
    }

    /// All that others have to know before this node ends: who drains or is gone.
    pub(crate) fn leaving_tasks(&self, now: Timestamp) -> Vec<Task> {
        let all = self.instances.registry.all();
        all.filter(|known| known.task.state != State::Ready as i32)
            .map(|known| known.told(now))
            .collect()
    }

    pub(crate) fn tend_instances(&mut self, now: Timestamp) {
        self.tend_replications(now);
        let last = self.instances.last_report;
        if now - last < REPORT {
            return;
        }
        self.instances.last_report = now;
        let forgotten = self.instances.registry.forgotten(now);
        if !forgotten.is_empty() {
            self.store(Batch {
                forgotten,
                ..Batch::default()
            });
        }
        self.tell_heard(last);
        let fallen = self.instances.registry.fallen(now);
        for task in &fallen {
            self.log(Event::InstanceSilent {
                id: task.id.clone(),
                service: task.service.clone(),
            });
        }
        if !fallen.is_empty() {
            self.tell_edges_tasks(fallen);
        }
        self.tell_edges_fleet();
    }

    /// Tells others who was heard here since the last time.
    fn tell_heard(&mut self, last: Timestamp) {
        let all = self.instances.registry.all();
        let lately = all.filter(|known| known.beat.is_some_and(|at| at >= last));
        let (ids, seqs): (Vec<String>, Vec<u64>) = lately
            .map(|known| (known.task.id.clone(), known.task.call_seq))
            .unzip();
        if ids.is_empty() {
            return;
        }
        let report = InstanceReport {
            tasks: Vec::new(),
            ids,
            seqs,
        };
        for ip in self.other_members() {
            self.tell(&ip, PeerRequest::InstanceReport(report.clone()));
        }
    }

    fn tell_edges_tasks(&mut self, tasks: Vec<Task>) {
        self.send_edges(
            self.edges.all(),
            ToEdgeBody::Tasks(Tasks {
                tasks,
                whole: false,
            }),
        );
    }

    /// On disk as soon as it comes: after a start of everything tasks are known before their next heartbeats.
    fn store_tasks(&mut self, tasks: &[Task]) {
        let warm = |task: &Task| Task {
            cold_left_ms: 0,
            silent: false,
            ..task.clone()
        };
        self.store(Batch {
            tasks: tasks.iter().map(warm).collect(),
            ..Batch::default()
        });
    }
}
