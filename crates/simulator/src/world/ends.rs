//! Processes and machines that end.

use lynxmill_time::Timestamp;

use super::World;
use crate::disk::Unsynced;
use crate::network::{Endpoint, Payload};

impl World {
    /// A process ends; with the power, nobody is told.
    pub(crate) fn end_process(&mut self, machine: usize, power: bool, unsynced: Unsynced) {
        let host = &mut self.machines[machine];
        host.powered = !power;
        host.inbox.clear();
        if host.process.take().is_none() {
            return;
        }
        host.disk.lose(unsynced, &mut self.random);
        host.busy_until = Timestamp::default();
        host.stopped_since = Some(self.now);
        self.trace_line(|| format!("node {machine} ends, power {power}, unsynced {unsynced:?}"));
        self.last_event = self.now;
        self.process_ends.push((self.now, machine));
        self.connections.forget_dialler(machine);
        for number in self.connections.of(machine) {
            self.break_connections(vec![number]);
        }
        let calls: Vec<u64> = self
            .calls
            .0
            .iter()
            .filter(|(_, c)| c.machine == machine)
            .map(|(n, _)| *n)
            .collect();
        for call in calls {
            let Some(open) = self.calls.0.remove(&call) else {
                continue;
            };
            if !power {
                self.send(
                    Endpoint::Machine(machine),
                    open.caller,
                    0,
                    Payload::Refused { call },
                );
            }
        }
        let streams: Vec<(u64, usize)> = self
            .streams
            .iter()
            .filter(|(_, (_, m))| *m == machine)
            .map(|(s, (e, _))| (*s, *e))
            .collect();
        for (stream, edge) in streams {
            self.streams.remove(&stream);
            if !power {
                let payload = Payload::CloseStream { stream };
                self.send(
                    Endpoint::Machine(machine),
                    Endpoint::Edge(edge),
                    stream,
                    payload,
                );
            }
        }
    }

    /// A process that was told to leave is killed, unless it has been started anew since.
    pub(super) fn grace_is_over(&mut self, machine: usize, life: u64) {
        if self.machines[machine].runs(life) {
            self.retire(machine);
        }
    }

    /// A machine is gone for good.
    pub(crate) fn retire(&mut self, machine: usize) {
        if self.machines[machine].retired {
            return;
        }
        self.trace_line(|| format!("node {machine} is gone for good"));
        self.last_departure = self.now;
        self.end_process(machine, false, Unsynced::Lost);
        (
            self.machines[machine].retired,
            self.machines[machine].powered,
        ) = (true, false);
        self.network.forget_endpoint(Endpoint::Machine(machine));
    }
}
