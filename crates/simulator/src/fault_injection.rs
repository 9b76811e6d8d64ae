//! Faults as they are played: what each does to the world, and what ends it.

use lynxmill_control_node::Input;
use lynxmill_time::{TimeDelta, Timestamp};

use crate::clock::Pace;
use crate::disk::Unsynced;
use crate::faults::{Closing, Fault, FaultKind};
use crate::machine::{Machine, ip, machine_of};
use crate::network::Endpoint;
use crate::operator::SHARDED;
use crate::task::Stage;
use crate::world::{Event, World};

/// A process that was killed is started again after so long, in seconds.
const RESTART_S: (f64, f64) = (0.1, 1.0);
/// A machine of a planned replacement is up for so long before the old one is told to leave, in seconds.
const BEFORE_LEAVING_S: (f64, f64) = (3.0, 6.0);
/// Of the grace after which a leaving process is killed.
const GRACE: TimeDelta = TimeDelta::from_micros(6_000_000);
/// The closing fault comes at latest so long after all others.
const CLOSING_PATIENCE: TimeDelta = TimeDelta::from_micros(3_000_000);
/// A machine that has been up and untouched for longer is lost no more.
const CATCH_UP: TimeDelta = TimeDelta::from_micros(4_000_000);
/// How long the run goes on in calm time.
const CALM: TimeDelta = TimeDelta::from_micros(18_000_000);

/// What ends a fault.
#[derive(Clone, Debug)]
pub(crate) enum Undo {
    Join {
        pairs: Vec<(Endpoint, Endpoint)>,
        touched: Vec<usize>,
    },
    Thaw(usize),
    SpeedUp(usize),
    DiskTakesWrites(usize),
    DiskSpeedsUp(usize),
    DiskGoesOn(usize),
    ClockRunsTrue(usize),
    GoodNetwork,
}

fn both(one: Endpoint, other: Endpoint) -> Vec<(Endpoint, Endpoint)> {
    vec![(one, other), (other, one)]
}

impl World {
    fn running(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|m| self.machines[*m].is_running())
            .collect()
    }

    fn target_machine(&self, fault: &Fault) -> Option<usize> {
        let running = self.running();
        (!running.is_empty()).then(|| running[fault.machine % running.len()])
    }

    fn all_but(&self, machine: usize) -> Vec<Endpoint> {
        (0..self.machines.len())
            .filter(|m| *m != machine)
            .map(Endpoint::Machine)
            .collect()
    }

    pub(crate) fn begin_fault(&mut self, index: usize) {
        let fault = self.plan.faults[index].clone();
        self.trace_line(|| format!("fault: {fault}"));
        self.last_event = self.now;
        let Some(who) = self.target_machine(&fault) else {
            return;
        };
        match fault.kind {
            FaultKind::EdgeRestart => self.restart_edge(fault.machine),
            FaultKind::TaskCrash => self.task_ends(fault.machine, false),
            FaultKind::TaskDrain => self.task_ends(fault.machine, true),
            FaultKind::Reset => self.break_connections(self.connections.of(who)),
            FaultKind::BadNetwork => {
                self.network.set_quality(
                    0.02 + 0.02 * fault.machine as f64,
                    0.05 + 0.05 * fault.other as f64,
                );
                self.schedule_end(&fault, Undo::GoodNetwork);
            }
            FaultKind::Freeze => {
                self.machines[who].frozen += 1;
                self.machines[who].stopped_since.get_or_insert(self.now);
                self.schedule_end(&fault, Undo::Thaw(who));
            }
            FaultKind::Slow => {
                self.machines[who].slow += 1;
                self.schedule_end(&fault, Undo::SpeedUp(who));
            }
            FaultKind::DiskFull => {
                self.machines[who].disk.full += 1;
                self.schedule_end(&fault, Undo::DiskTakesWrites(who));
            }
            FaultKind::DiskSlow => {
                self.machines[who].disk.slow += 1;
                self.schedule_end(&fault, Undo::DiskSpeedsUp(who));
            }
            FaultKind::DiskStall => {
                self.machines[who].disk.stalled_until = self.end_of(&fault);
                self.schedule_end(&fault, Undo::DiskGoesOn(who));
            }
            FaultKind::ClockSlow => self.clock_creeps(&fault, who, Pace::Slow),
            FaultKind::ClockFast => self.clock_creeps(&fault, who, Pace::Fast),
            FaultKind::Kill
            | FaultKind::PowerLoss
            | FaultKind::KillAll
            | FaultKind::PowerLossAll => {
                self.end_processes(&fault, who);
            }
            FaultKind::WipeDisk => self.wipe(who, fault.duration),
            FaultKind::ReplacePlanned => self.replace_planned(who),
            FaultKind::ReplaceUnplanned => self.replace_unplanned(who),
            _ => self.cut(&fault, who),
        }
    }

    /// Not a trouble as users count: a node with a creeping clock keeps every promise, and counts as well.
    fn clock_creeps(&mut self, fault: &Fault, who: usize, pace: Pace) {
        self.machines[who].clock.set_pace(self.now, pace);
        let end = Event::FaultEnds(Undo::ClockRunsTrue(who));
        self.queue.add(self.end_of(fault), end);
    }

    /// No fault outlasts the beginning of calm time.
    fn end_of(&self, fault: &Fault) -> Timestamp {
        (self.now + fault.duration).min(World::plan_time(self.plan.calm_at))
    }

    /// The machines that a fault touches.
    fn touched(&self, undo: &Undo) -> Vec<usize> {
        match undo {
            Undo::Join { touched, .. } => touched.clone(),
            Undo::Thaw(machine)
            | Undo::SpeedUp(machine)
            | Undo::DiskTakesWrites(machine)
            | Undo::DiskSpeedsUp(machine)
            | Undo::DiskGoesOn(machine)
            | Undo::ClockRunsTrue(machine) => vec![*machine],
            Undo::GoodNetwork => (0..self.machines.len()).collect(),
        }
    }

    fn schedule_end(&mut self, fault: &Fault, undo: Undo) {
        for machine in self.touched(&undo) {
            self.machines[machine].active_faults += 1;
        }
        self.queue.add(self.end_of(fault), Event::FaultEnds(undo));
    }

    pub(crate) fn end_fault(&mut self, undo: Undo) {
        self.trace_line(|| format!("fault ends: {undo:?}"));
        if let Undo::ClockRunsTrue(machine) = undo {
            return self.machines[machine].clock.set_pace(self.now, Pace::True);
        }
        self.last_event = self.now;
        for machine in self.touched(&undo) {
            let host = &mut self.machines[machine];
            // A machine that came after the fault began was not counted.
            host.active_faults = host.active_faults.saturating_sub(1);
            host.undisturbed_since = self.now;
        }
        match undo {
            Undo::Join { pairs, .. } => self.join(pairs),
            Undo::Thaw(machine) => {
                let host = &mut self.machines[machine];
                host.frozen -= 1;
                host.unfrozen_at = self.now;
                if host.frozen == 0 && host.is_running() {
                    host.stopped_since = None;
                }
                self.process_inbox(machine);
            }
            Undo::SpeedUp(machine) => {
                self.machines[machine].slow -= 1;
                self.process_inbox(machine);
            }
            Undo::DiskTakesWrites(machine) => self.machines[machine].disk.full -= 1,
            Undo::DiskSpeedsUp(machine) => self.machines[machine].disk.slow -= 1,
            Undo::DiskGoesOn(_) | Undo::ClockRunsTrue(_) => {}
            Undo::GoodNetwork => self.network.set_quality(0.0, 0.0),
        }
    }

    // --- cuts ---

    fn cut(&mut self, fault: &Fault, who: usize) {
        let me = Endpoint::Machine(who);
        let others = self.all_but(who);
        let running: Vec<usize> = self.running().into_iter().filter(|m| *m != who).collect();
        let other = if running.is_empty() {
            who
        } else {
            running[fault.other % running.len()]
        };
        let other = Endpoint::Machine(other);
        let pairs: Vec<(Endpoint, Endpoint)> = match fault.kind {
            FaultKind::CutOff => others.iter().flat_map(|o| both(me, *o)).collect(),
            FaultKind::CutIncoming => others.iter().map(|o| (*o, me)).collect(),
            FaultKind::CutOutgoing => others.iter().map(|o| (me, *o)).collect(),
            FaultKind::CutPair => both(me, other),
            FaultKind::CutOneWay => vec![(me, other)],
            FaultKind::Partition => self.partitioned_pairs(fault),
            _ => self
                .callers()
                .iter()
                .flat_map(|caller| both(me, *caller))
                .collect(),
        };
        let pairs: Vec<_> = pairs.into_iter().filter(|(from, to)| from != to).collect();
        pairs
            .iter()
            .for_each(|(from, to)| self.network.cut(self.now, *from, *to));
        let touched = match fault.kind {
            FaultKind::CutPair | FaultKind::CutOneWay => {
                let ends = [me, other].into_iter();
                ends.filter_map(|end| {
                    if let Endpoint::Machine(m) = end {
                        Some(m)
                    } else {
                        None
                    }
                })
                .collect()
            }
            FaultKind::Partition => (0..self.machines.len()).collect(),
            _ => vec![who],
        };
        self.schedule_end(fault, Undo::Join { pairs, touched });
    }

    fn callers(&self) -> Vec<Endpoint> {
        let operators = (0..self.operators.len()).map(Endpoint::Operator);
        let tasks = (0..self.tasks.len()).map(Endpoint::Task);
        operators
            .chain(
                self.rollout_operator
                    .iter()
                    .map(|_| Endpoint::RolloutOperator),
            )
            .chain(tasks)
            .chain((0..self.edges.len()).map(Endpoint::Edge))
            .collect()
    }

    /// Those whose bit is set in `other` are parted from the rest.
    fn partitioned_pairs(&self, fault: &Fault) -> Vec<(Endpoint, Endpoint)> {
        let side = |machine: usize| (fault.other >> (machine % 4)) & 1;
        let mut pairs = Vec::new();
        for one in 0..self.machines.len() {
            let others = (0..one).filter(|other| side(*other) != side(one));
            pairs.extend(others.flat_map(|o| both(Endpoint::Machine(one), Endpoint::Machine(o))));
        }
        pairs
    }

    fn join(&mut self, pairs: Vec<(Endpoint, Endpoint)>) {
        pairs
            .iter()
            .for_each(|(from, to)| self.network.join(*from, *to));
        let (arrive, broken) = self.network.release(self.now);
        for (at, packet) in arrive {
            self.queue.add(at, Event::Deliver(Box::new(packet)));
        }
        self.break_connections(broken);
    }

    // --- ends of processes ---

    fn restart_later(&mut self, machine: usize, after: TimeDelta) {
        let at = self.now + after + self.random.time_delta(RESTART_S.0, RESTART_S.1);
        self.queue.add(
            at.min(World::plan_time(self.plan.calm_at).max(self.now)),
            Event::Start { machine },
        );
    }

    fn draw_unsynced(&mut self) -> Unsynced {
        match self.random.below(3) {
            0 => Unsynced::Lost,
            1 => Unsynced::Kept,
            _ => Unsynced::Torn,
        }
    }

    fn end_processes(&mut self, fault: &Fault, who: usize) {
        let power = matches!(fault.kind, FaultKind::PowerLoss | FaultKind::PowerLossAll);
        let all = matches!(fault.kind, FaultKind::KillAll | FaultKind::PowerLossAll);
        let machines = if all { self.running() } else { vec![who] };
        let after = if all {
            TimeDelta::default()
        } else {
            fault.duration
        };
        for machine in machines {
            let unsynced = self.draw_unsynced();
            self.end_process(machine, power, unsynced);
            self.restart_later(machine, after);
        }
    }

    /// How many members hold nothing that counts: their disks are lost, or they have not caught up since. A
    /// machine that is cut off counts as lost, and so its disk is lost with it if it is removed meanwhile. One that
    /// is told to leave is removed within its grace, whatever it does: its disk is lost as well, unless a successor
    /// has had the time to catch up.
    fn members_lost(&self, but: usize) -> usize {
        let members = self
            .membership
            .ips
            .iter()
            .filter_map(|ip| machine_of(ip))
            .filter(|m| *m != but);
        let succeeded = self.has_sound_successor();
        let leaves = |host: &Machine| host.leaving && (host.active_faults > 0 || !succeeded);
        let lost = |host: &Machine| host.retired || leaves(host);
        members
            .filter(|m| {
                lost(&self.machines[*m]) || !self.machines[*m].disk.is_voter(&self.membership)
            })
            .count()
    }

    /// While more machines are lost than may be, nobody is promised that those that came back catch up: their
    /// time begins anew.
    pub(crate) fn count_losses(&mut self) {
        let (listed, now) = (self.listed_machines(), self.now);
        let down = |host: &Machine| !host.is_running() || host.active_faults > 0;
        let lost = listed.iter().filter(|m| down(&self.machines[**m])).count();
        let catches_up = |host: &Machine| !down(host) && now - host.undisturbed_since <= CATCH_UP;
        let catching: Vec<usize> = listed
            .into_iter()
            .filter(|machine| catches_up(&self.machines[*machine]))
            .collect();
        if lost > 0 && lost + catching.len() > (self.plan.core_size - 1) / 2 {
            catching
                .into_iter()
                .for_each(|machine| self.machines[machine].undisturbed_since = now);
        }
    }

    /// Whether one more disk may be lost now, by the fault tolerance that the core was made for: by what is
    /// on the disks of the others, or, as users count, by how long the others have been up and untouched.
    pub(crate) fn may_lose(&self, machine: usize) -> bool {
        let tolerance = (self.plan.core_size - 1) / 2;
        // A newcomer beside the others makes up for no lost one: all of them have to be well, whoever has a
        // seat.
        let (sound, listed) = (self.sound_machines(), self.listed_machines());
        let unsound = listed
            .iter()
            .filter(|other| **other != machine && !sound.contains(other))
            .count();
        let missing = self.plan.core_size.saturating_sub(listed.len());
        self.members_lost(machine) < tolerance || unsound + missing < tolerance
    }

    /// Whether a machine that has no seat yet is well and has had the time to catch up.
    fn has_sound_successor(&self) -> bool {
        let waits = |machine: &usize| !self.membership.ips.contains(&ip(*machine));
        self.sound_machines().iter().any(waits)
    }

    /// Machines that are up, touched by no fault and have had the time to catch up.
    fn sound_machines(&self) -> Vec<usize> {
        let sound = |host: &Machine| {
            host.is_running()
                && host.active_faults == 0
                && self.now - host.undisturbed_since > CATCH_UP
        };
        (0..self.machines.len())
            .filter(|machine| sound(&self.machines[*machine]))
            .collect()
    }

    /// No more machines are lost than may be.
    pub(crate) fn is_within_tolerance(&self) -> bool {
        self.sound_machines().len() >= self.plan.core_size - (self.plan.core_size - 1) / 2
    }

    fn wipe(&mut self, machine: usize, after: TimeDelta) {
        if !self.may_lose(machine) {
            return self.trace_line(|| "no further disk may be lost now".to_owned());
        }
        self.end_process(machine, true, Unsynced::Lost);
        self.machines[machine].disk.wipe();
        self.forgets(machine);
        self.restart_later(machine, after.times(0.2));
    }

    // --- replacements ---

    fn add_machine(&mut self, after: TimeDelta) -> usize {
        let machine = self.machines.len();
        self.machines.push(Machine::new());
        self.machines[machine].powered = false;
        self.queue.add(self.now + after, Event::Start { machine });
        machine
    }

    /// Not more machines at a time than there are seats to give.
    fn has_learners(&self) -> bool {
        let listed = self.listed_machines();
        listed.len() > self.plan.core_size
    }

    fn replace_planned(&mut self, old: usize) {
        if self.has_learners() {
            return;
        }
        self.add_machine(TimeDelta::from_secs(0.1));
        let at = self.now
            + self
                .random
                .time_delta(BEFORE_LEAVING_S.0, BEFORE_LEAVING_S.1);
        self.queue.add(at, Event::Leave { machine: old });
    }

    pub(crate) fn leave(&mut self, machine: usize) {
        if self.machines[machine].retired {
            return;
        }
        let running = self.machines[machine].is_running() && self.machines[machine].frozen == 0;
        if !self.may_lose(machine) || !running {
            // The platform waits with it: one machine too many is lost already.
            return self.queue.add(
                self.now + TimeDelta::from_secs(0.5),
                Event::Leave { machine },
            );
        }
        self.trace_line(|| format!("node {machine} is told to leave"));
        self.last_departure = self.now;
        self.machines[machine].leaving = true;
        let life = self.machines[machine]
            .process
            .as_ref()
            .map_or(0, |process| process.incarnation);
        self.input(machine, Input::Leave);
        self.queue
            .add(self.now + GRACE, Event::Retire { machine, life });
    }

    fn replace_unplanned(&mut self, old: usize) {
        if self.has_learners() || !self.may_lose(old) {
            return;
        }
        self.retire(old);
        let after = self.random.time_delta(0.1, 2.0);
        self.add_machine(after);
    }

    // --- edges and tasks ---

    pub(crate) fn restart_edge(&mut self, which: usize) {
        let edge = which % self.edges.len().max(1);
        let Some(old) = self.edges.get(edge) else {
            return;
        };
        for (machine, stream) in old.streams() {
            self.network.forget(stream);
            if self.streams.remove(&stream).is_some() {
                self.input(
                    machine,
                    Input::EdgeClosed {
                        stream: lynxmill_control_node::StreamId(stream),
                    },
                );
            }
        }
        let life = self.random.number();
        self.edges[edge] = self.new_edge(edge, life);
        self.trace_line(|| format!("edge {edge} starts anew"));
        self.queue.add(self.now, Event::Edge { edge, life });
    }

    fn task_ends(&mut self, which: usize, in_order: bool) {
        let ready: Vec<usize> = (0..self.tasks.len())
            .filter(|task| self.tasks[*task].stage == Stage::Ready)
            .collect();
        if ready.is_empty() {
            return;
        }
        let task = ready[which % ready.len()];
        // The plan's number is used once more, so that plans stay as they are.
        let signs_off_first = self.options.sign_offs_first && which / ready.len() % 2 == 1;
        if in_order && signs_off_first {
            self.tasks[task].sign_off_first(self.now);
        } else if in_order {
            self.tasks[task].drain(self.now);
        } else {
            self.tasks[task].crash(self.now);
        }
        self.trace_line(|| format!("task i-{task} ends, in order {in_order}"));
        self.schedule_task(task);
        self.add_task(SHARDED);
    }

    // --- the end ---

    /// All faults are over; the closing one waits for an acknowledged order.
    pub(crate) fn close(&mut self) {
        self.trace_line(|| "calm".to_owned());
        if self.plan.closing == Closing::Nothing {
            return self.calm_down();
        }
        self.closing = true;
        self.queue.add(self.now + CLOSING_PATIENCE, Event::CloseNow);
    }

    pub(crate) fn close_now(&mut self) {
        if self.calm_since.is_some() {
            return;
        }
        self.closing = false;
        let closing = self.plan.closing;
        self.trace_line(|| format!("closing: {closing:?}"));
        let power = closing != Closing::KillAll;
        // As users count: as many disks at once as may be lost, however many machines there are.
        let mut left_to_lose = (self.plan.core_size - 1) / 2;
        for machine in self.running() {
            let unsynced = self.draw_unsynced();
            self.end_process(machine, power, unsynced);
            let wipes = closing == Closing::WipeMost && left_to_lose > 0;
            if wipes && self.may_lose(machine) && self.random.chance(0.7) {
                left_to_lose -= 1;
                self.trace_line(|| format!("node {machine} loses its disk"));
                self.machines[machine].disk.wipe();
            }
        }
        self.calm_down();
    }

    fn calm_down(&mut self) {
        let mut last = self.now;
        for machine in 0..self.machines.len() {
            if !self.machines[machine].is_running() && !self.machines[machine].retired {
                let at = self.now + self.random.time_delta(RESTART_S.0, RESTART_S.1);
                last = last.max(at);
                self.queue.add(at, Event::Start { machine });
            }
        }
        self.calm_since = Some(last);
        self.operators
            .iter_mut()
            .for_each(|operator| operator.calm_down());
        if let Some(operator) = &mut self.rollout_operator {
            operator.calm_down();
        }
        self.queue.add(last + CALM, Event::End);
    }
}
