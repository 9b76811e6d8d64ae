//! Heartbeats, drains and sign-offs of tasks, and the reports of members on them. A drain or a
//! sign-off is acknowledged only once so many members that stay know of it that it survives what
//! may be lost.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_consensus::InstanceRegistry;
use lynxmill_protocol::{HeartbeatLoad, InstanceReport, PeerRequest, Task, TaskState};
use lynxmill_storage::Batch;
use lynxmill_time::{TimeDelta, Timestamp};

use crate::event::Event;
use crate::heartbeat_balance::{COUNTED_HEARTBEATS, HeartbeatBalancer, HeartbeatTarget};
use crate::messages::{Answer, CallId, HeartbeatAnswer, InstanceHeartbeat, Unavailable};
use crate::node::ControlNode;
use crate::pending_requests::Awaited;

/// How long other members may take to acknowledge a drain; the task waits a second for its answer.
const REPLICATION_TIMEOUT: TimeDelta = TimeDelta::from_micros(700_000);
/// After so long without enough acknowledgements the request is sent again.
const RETRY_INTERVAL: TimeDelta = TimeDelta::from_micros(250_000);
/// News of tasks that nobody is urgently waiting for goes out together, at most this late: where thousands of tasks
/// start at once, each edge gets a few long messages in place of one a task.
const TASK_UPDATE_DELAY: TimeDelta = TimeDelta::from_micros(100_000);
/// Between two reports of heartbeats to the other members.
const REPORT_INTERVAL: TimeDelta = TimeDelta::from_micros(300_000);

/// What the task is answered once enough members know.
#[derive(Clone, Debug)]
enum Continuation {
    Heartbeat(Box<InstanceHeartbeat>),
    SignOff,
}

/// A drain or a sign-off that waits for other members.
#[derive(Debug)]
struct Replication {
    call: CallId,
    task: Task,
    needed: usize,
    acknowledged_by: BTreeSet<String>,
    deadline: Timestamp,
    next_attempt: Timestamp,
    continuation: Continuation,
}

/// The tasks that this node knows, and replications that are under way.
#[derive(Debug)]
pub(crate) struct Instances {
    pub registry: InstanceRegistry,
    pub balancer: HeartbeatBalancer,
    replications: BTreeMap<u64, Replication>,
    last_number: u64,
    last_report: Timestamp,
    /// Tasks that edges are to be told of, and since when the first of them waits.
    unsent_updates: Vec<Task>,
    unsent_since: Timestamp,
}

impl Instances {
    pub(crate) fn new(registry: InstanceRegistry) -> Self {
        Instances {
            registry,
            balancer: HeartbeatBalancer::default(),
            replications: BTreeMap::new(),
            last_number: 0,
            last_report: Timestamp::default(),
            unsent_updates: Vec::new(),
            unsent_since: Timestamp::default(),
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
        self.count("heartbeats");
        let task = heartbeat.task.clone();
        let known = self.instances.registry.get(&task.id);
        let late = known.is_some_and(|known| known.task.call_seq > task.call_seq);
        self.log_new_version(&task);
        let is_news = self.instances.registry.update(now, &task);
        if is_news {
            self.send_task_update(now, vec![task.clone()]);
            self.store_tasks(std::slice::from_ref(&task));
        }
        if !late {
            self.instances.registry.heartbeat_received(now, &task.id);
        }
        // An overtaken heartbeat may still be the first word that the task drains: none is acknowledged
        // untold.
        if task.state != TaskState::Ready as i32 {
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
                self.send_notification(&ip, PeerRequest::InstanceReport(report.clone()));
            }
        }
        self.answer_heartbeat(now, call, &heartbeat);
    }

    /// A line for the first task of each version of a service.
    fn log_new_version(&mut self, task: &Task) {
        let registry = &self.instances.registry;
        let is_new = registry.get(&task.id).is_none() && !task.version.is_empty();
        if is_new && !registry.has_version(&task.service, &task.version) {
            self.log(Event::VersionSeen {
                service: task.service.clone(),
                version: task.version.clone(),
            });
        }
    }

    fn answer_heartbeat(&mut self, now: Timestamp, call: CallId, heartbeat: &InstanceHeartbeat) {
        let task = &heartbeat.task;
        if !self.in_contact(now) {
            self.count("heartbeats-without-contact");
            return self.answer(call, Answer::Unavailable(Unavailable::NoContact));
        }
        let known = self.instances.registry.get(&task.id);
        if known.is_some_and(|known| known.task.call_seq > task.call_seq) {
            self.count("heartbeats-late");
            return self.answer(call, Answer::Heartbeat(HeartbeatAnswer::default()));
        }
        let answer = if self.is_sharded(&task.service) {
            self.grant(now, heartbeat)
        } else {
            Some(self.balance_heartbeats(now, &task.id))
        };
        match answer {
            // An answer without holdings renews nothing: the task asks the owner at once, not with its next
            // heartbeat.
            Some(HeartbeatAnswer {
                beat_target: Some(owner),
                holdings: None,
            }) => {
                self.count("heartbeats-redirected");
                self.answer(call, Answer::Redirect(owner));
            }
            Some(answer) => self.answer(call, Answer::Heartbeat(answer)),
            // Nobody may grant: the task asks again soon, at another, and not only with its next heartbeat.
            None => {
                self.count("heartbeats-without-owner");
                self.answer(call, Answer::Unavailable(Unavailable::NoOwner));
            }
        }
    }

    /// The answer to a heartbeat that any member may get.
    fn balance_heartbeats(&mut self, now: Timestamp, id: &str) -> HeartbeatAnswer {
        if !self.instances.balancer.has_surplus() {
            return HeartbeatAnswer::default();
        }
        let draws = [self.random_fraction(), self.random_fraction()];
        let beat_target = self.instances.balancer.redirect(now, id, draws);
        if beat_target.is_some() {
            self.count("heartbeats-moved");
        }
        HeartbeatAnswer {
            beat_target,
            holdings: None,
        }
    }

    /// Counts the tasks that send their heartbeats here, and compares that with the other members.
    fn compare_heartbeat_loads(&mut self, now: Timestamp) {
        if !self.instances.registry.is_complete(now) {
            return;
        }
        let interval = TimeDelta::from_secs(self.options.heartbeat_interval_s);
        let counted = interval.times(COUNTED_HEARTBEATS);
        let owned = self.owned_services(now);
        let mut load = HeartbeatLoad::default();
        for known in self.instances.registry.all() {
            let Some(last) = known.last_heartbeat.filter(|last| now - *last < counted) else {
                continue;
            };
            let service = &known.task.service;
            if owned.contains(service) {
                load.pinned += 1;
            } else if !self.is_sharded(service)
                && !self.instances.balancer.has_moved(&known.task.id, last)
            {
                load.movable += 1;
            }
        }
        let others = self.heartbeat_targets(now);
        self.instances
            .balancer
            .compare(now, interval, load, &others);
    }

    /// The other members that answer, and stay.
    fn heartbeat_targets(&self, now: Timestamp) -> Vec<HeartbeatTarget> {
        let others = self.other_members();
        let in_touch = others.iter().filter(|ip| self.answers_lately(now, ip));
        in_touch
            .filter_map(|ip| self.statuses.get(ip))
            .filter(|peer| !peer.status.leaving && !peer.status.catching_up)
            .filter_map(|peer| {
                Some(HeartbeatTarget {
                    control_address: peer.status.control_address.clone(),
                    load: peer.status.heartbeats?,
                })
            })
            .collect()
    }

    pub(crate) fn instance_sign_off(&mut self, now: Timestamp, call: CallId, id: &str) {
        // One that has not been heard of here may be known elsewhere: its name alone is told.
        let unknown = || Task {
            id: id.to_owned(),
            state: TaskState::Gone as i32,
            ..Task::default()
        };
        let drained = self.instances.registry.is_draining(id);
        let task = self
            .instances
            .registry
            .mark_gone(id)
            .unwrap_or_else(unknown);
        if drained {
            self.drained_task_ended(&task);
        }
        self.send_task_update(now, vec![task.clone()]);
        self.store_tasks(std::slice::from_ref(&task));
        self.replicate(now, call, task, Continuation::SignOff);
    }

    // --- copies at other members ---

    /// How many other members have to have a word: as many as may be lost, and one more if this node leaves.
    fn replicas_needed(&self) -> usize {
        let survivors = self.options.core_size / 2 + usize::from(self.departure.is_some());
        // A node that does not know the members yet has others all the same.
        if self.acceptor.members.ips.is_empty() {
            return survivors;
        }
        survivors.min(self.other_members().len())
    }

    fn replicate(&mut self, now: Timestamp, call: CallId, task: Task, continuation: Continuation) {
        let needed = self.replicas_needed();
        let deadline = now + REPLICATION_TIMEOUT;
        let (acknowledged_by, next_attempt) = (BTreeSet::new(), now + RETRY_INTERVAL);
        self.instances.last_number += 1;
        let number = self.instances.last_number;
        let replication = Replication {
            call,
            task,
            needed,
            acknowledged_by,
            deadline,
            next_attempt,
            continuation,
        };
        self.instances.replications.insert(number, replication);
        if needed == 0 {
            return self.finish_replication(now, number);
        }
        self.send_replication_requests(now, number);
    }

    fn send_replication_requests(&mut self, now: Timestamp, number: u64) {
        let Some(replication) = self.instances.replications.get_mut(&number) else {
            return;
        };
        replication.next_attempt = now + RETRY_INTERVAL;
        let report = InstanceReport {
            tasks: vec![replication.task.clone()],
            ..InstanceReport::default()
        };
        let copies = replication.acknowledged_by.clone();
        for ip in self
            .other_members()
            .into_iter()
            .filter(|ip| !copies.contains(ip))
        {
            let body = PeerRequest::InstanceReport(report.clone());
            self.send_request(now, &ip, body, Awaited::Replication(number));
        }
    }

    pub(crate) fn replicated(&mut self, now: Timestamp, number: u64, from: &str) {
        if !self.acceptor.members.ips.iter().any(|ip| ip == from) {
            return;
        }
        let Some(replication) = self.instances.replications.get_mut(&number) else {
            return;
        };
        replication.acknowledged_by.insert(from.to_owned());
        if replication.acknowledged_by.len() >= replication.needed {
            self.finish_replication(now, number);
        }
    }

    fn finish_replication(&mut self, now: Timestamp, number: u64) {
        let Some(replication) = self.instances.replications.remove(&number) else {
            return;
        };
        match replication.continuation {
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
            self.count("heartbeats-without-contact");
            return self.answer(call, Answer::Unavailable(Unavailable::NoContact));
        }
        let granted = if self.is_sharded(&heartbeat.task.service) {
            self.grant(now, heartbeat)
        } else {
            None
        };
        self.answer(call, Answer::Heartbeat(granted.unwrap_or_default()));
    }

    fn advance_replications(&mut self, now: Timestamp) {
        let replications = &self.instances.replications;
        let late: Vec<u64> = replications
            .iter()
            .filter(|(_, r)| now >= r.deadline)
            .map(|(n, _)| *n)
            .collect();
        for number in late {
            if let Some(replication) = self.instances.replications.remove(&number) {
                self.count("drains-unreplicated");
                self.answer(
                    replication.call,
                    Answer::Unavailable(Unavailable::TooFewReplicas),
                );
            }
        }
        let replications = &self.instances.replications;
        let due: Vec<u64> = replications
            .iter()
            .filter(|(_, r)| now >= r.next_attempt)
            .map(|(n, _)| *n)
            .collect();
        due.into_iter()
            .for_each(|number| self.send_replication_requests(now, number));
    }

    // --- what members tell each other ---

    /// Another member's word of tasks; whether this node keeps it for as long as any member does.
    pub(crate) fn handle_instance_report(
        &mut self,
        now: Timestamp,
        report: &InstanceReport,
    ) -> bool {
        report
            .tasks
            .iter()
            .for_each(|task| self.log_new_version(task));
        let registry = &mut self.instances.registry;
        let mut changed: Vec<Task> = Vec::new();
        let mut ended: Vec<Task> = Vec::new();
        for task in &report.tasks {
            let drained = registry.is_draining(&task.id);
            if !registry.update(now, task) {
                continue;
            }
            changed.push(task.clone());
            if drained && task.state == TaskState::Gone as i32 {
                ended.push(task.clone());
            }
        }
        for (id, seq) in report.heartbeat_ids.iter().zip(&report.heartbeat_sequences) {
            if registry.seen_elsewhere(now, id, *seq) {
                changed.extend(registry.get(id).map(|known| known.as_of(now)));
            }
        }
        ended.iter().for_each(|task| self.drained_task_ended(task));
        if !changed.is_empty() {
            self.store_tasks(&changed);
            self.send_task_update(now, changed);
        }
        self.departure.is_none() && !self.acceptor.catching_up && self.is_member()
    }

    /// A member that has twice told of other tasks than are known here missed words of them: it gets them
    /// all.
    pub(crate) fn resend_instances(&mut self, now: Timestamp, ip: &str) {
        let Some(peer) = self.statuses.get(ip) else {
            return;
        };
        if !peer.same_tasks || peer.status.tasks_digest == self.instances.registry.digest() {
            return;
        }
        let tasks = self.running_tasks(now);
        self.count("tasks-resent");
        let report = InstanceReport {
            tasks,
            ..InstanceReport::default()
        };
        self.send_notification(ip, PeerRequest::InstanceReport(report));
    }

    fn running_tasks(&self, now: Timestamp) -> Vec<Task> {
        let all = self.instances.registry.all();
        let lively =
            all.filter(|known| !known.task.timed_out && known.task.state != TaskState::Gone as i32);
        lively.map(|known| known.as_of(now)).collect()
    }

    /// All that others have to know before this node ends: who drains or is gone.
    pub(crate) fn leaving_tasks(&self, now: Timestamp) -> Vec<Task> {
        let all = self.instances.registry.all();
        all.filter(|known| known.task.state != TaskState::Ready as i32)
            .map(|known| known.as_of(now))
            .collect()
    }

    pub(crate) fn advance_instances(&mut self, now: Timestamp) {
        self.advance_replications(now);
        if now - self.instances.unsent_since >= TASK_UPDATE_DELAY {
            self.flush_task_updates();
        }
        let last = self.instances.last_report;
        if now - last < REPORT_INTERVAL {
            return;
        }
        self.instances.last_report = now;
        let removed_tasks = self.instances.registry.remove_expired(now);
        if !removed_tasks.is_empty() {
            self.store(Batch {
                removed_tasks,
                ..Batch::default()
            });
        }
        self.compare_heartbeat_loads(now);
        self.send_heartbeat_report(last);
        let fallen = self.instances.registry.take_timed_out(now);
        for task in &fallen {
            self.log(Event::InstanceTimedOut {
                id: task.id.clone(),
                service: task.service.clone(),
            });
        }
        if !fallen.is_empty() {
            self.send_task_update(now, fallen);
        }
        self.send_edge_list();
    }

    /// Tells others who was heard here since the last time.
    fn send_heartbeat_report(&mut self, last: Timestamp) {
        let all = self.instances.registry.all();
        let lately = all.filter(|known| known.last_heartbeat.is_some_and(|at| at >= last));
        let (heartbeat_ids, heartbeat_sequences): (Vec<String>, Vec<u64>) = lately
            .map(|known| (known.task.id.clone(), known.task.call_seq))
            .unzip();
        if heartbeat_ids.is_empty() {
            return;
        }
        let report = InstanceReport {
            tasks: Vec::new(),
            heartbeat_ids,
            heartbeat_sequences,
        };
        for ip in self.other_members() {
            self.send_notification(&ip, PeerRequest::InstanceReport(report.clone()));
        }
    }

    /// Tells edges of tasks: at once of those that take no requests any more or warm up, of the others soon.
    fn send_task_update(&mut self, now: Timestamp, tasks: Vec<Task>) {
        let is_urgent = |task: &Task| {
            task.state != TaskState::Ready as i32 || task.timed_out || task.warm_up_left_ms > 0
        };
        let urgent = tasks.iter().any(is_urgent);
        if self.instances.unsent_updates.is_empty() {
            self.instances.unsent_since = now;
        }
        self.instances.unsent_updates.extend(tasks);
        if urgent {
            self.flush_task_updates();
        }
    }

    fn flush_task_updates(&mut self) {
        let tasks = std::mem::take(&mut self.instances.unsent_updates);
        if tasks.is_empty() {
            return;
        }
        self.send_changed_tasks(tasks);
    }

    /// On disk as soon as it comes: after a start of everything tasks are known before their next heartbeats.
    fn store_tasks(&mut self, tasks: &[Task]) {
        let warm = |task: &Task| Task {
            warm_up_left_ms: 0,
            timed_out: false,
            ..task.clone()
        };
        self.store(Batch {
            tasks: tasks.iter().map(warm).collect(),
            ..Batch::default()
        });
    }
}
