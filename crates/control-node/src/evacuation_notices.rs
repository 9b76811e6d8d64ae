//! Notices of evacuations that were asked for and need not have been agreed.
//!
//! The tasks of a zone may turn cold once its evacuation was asked for, and say so only in their next heartbeat.
//! Where the order is agreed nothing is sent to them by then. Where no majority agrees, or not in time, the zone
//! stays in use: edges that know of the order can keep each of its tasks within what a cold one bears. The notice
//! puts nothing in force.

use std::collections::BTreeMap;

use lynxmill_protocol::{EvacuationNotice, ToEdgeBody};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::messages::StreamId;
use crate::node::ControlNode;

/// Heartbeat intervals after which the tasks of a zone that is taken back have said that they are cold.
const TAKEN_BACK_HEARTBEATS: f64 = 2.0;

/// The notices that hold: until when, by zone.
#[derive(Debug, Default)]
pub(crate) struct EvacuationNotices {
    until: BTreeMap<String, Timestamp>,
}

impl EvacuationNotices {
    fn valid(&self, now: Timestamp) -> Vec<EvacuationNotice> {
        let valid = self.until.iter().filter(|(_, until)| now < **until);
        valid
            .map(|(zone, until)| EvacuationNotice {
                zone: zone.clone(),
                valid_ms: ((*until - now).micros() / 1000) as u32,
            })
            .collect()
    }
}

impl ControlNode {
    /// An operator asks that a zone be emptied, or taken back: all edges are told at once.
    pub(crate) fn notice_evacuation(&mut self, now: Timestamp, zone: &str, empties: bool) {
        let valid_s = if empties {
            // The operator repeats an order that is not acknowledged, for as long as that may take.
            self.options.bounds.ack_s
        } else {
            // Tasks of a zone that is taken back turned cold before, and say so with their next heartbeat.
            self.options.heartbeat_interval_s * TAKEN_BACK_HEARTBEATS
        };
        let until = now + TimeDelta::from_secs(valid_s);
        let notices = &mut self.evacuation_notices.until;
        notices.retain(|_, end| now < *end);
        let known = notices.entry(zone.to_owned()).or_insert(until);
        *known = until.max(*known);
        self.send_evacuation_notices(now, self.edges.all());
    }

    /// Tells these edges of all notices that hold.
    pub(crate) fn send_evacuation_notices(&mut self, now: Timestamp, streams: Vec<StreamId>) {
        for notice in self.evacuation_notices.valid(now) {
            self.send_edges(streams.clone(), ToEdgeBody::EvacuationNotice(notice));
        }
    }
}
