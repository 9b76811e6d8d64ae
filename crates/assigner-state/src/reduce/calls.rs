//! Calls to the relay, one at a time, and what came of them.

use lynxmill_time::Timestamp;

use super::{Effect, State};
use crate::encode::{self, Order, Sets};
use crate::round::Charge;
use crate::told::Outcome;

impl State {
    pub(super) fn call(&mut self, effects: &mut Vec<Effect>) {
        let Some((orders, body)) = self.outbox.call() else {
            return;
        };
        self.tally.calls += 1;
        for order in &orders {
            if let Sets::Levels { slice, .. } = order.sets {
                self.charges[slice].levelled = true;
            }
        }
        self.flying = Some(orders);
        effects.push(Effect::Call(body));
    }

    pub(super) fn called(&mut self, now: Timestamp, outcome: Outcome) {
        let Some(mut orders) = self.flying.take() else {
            return;
        };
        // An answer that tells of more orders than there were is spoilt: nobody knows what came of the call.
        let outcome = match outcome {
            Outcome::Taken(taken) if taken > orders.len() => Outcome::Unknown,
            outcome => outcome,
        };
        // What an ended charge has ordered is void, whatever came of it.
        let charges = &self.charges;
        let held = |order: &Order| {
            order
                .sets
                .slice()
                .is_none_or(|slice| charges[slice].holds(order))
        };
        match outcome {
            Outcome::Taken(taken) => {
                let mut rest = orders.split_off(taken).into_iter();
                let refused = rest.next();
                let rest = rest.filter(held).collect();
                self.settle(now, &orders);
                self.outbox.put_back(rest);
                if let Some(order) = refused {
                    self.refused(now, order);
                }
            }
            Outcome::Throttled | Outcome::Unknown => {
                orders.retain(held);
                let mut pause = self.jittered();
                if outcome == Outcome::Unknown {
                    self.may_stand(now, &mut orders);
                    if !self.joined.is_empty() {
                        pause = pause.max(self.answer_due);
                    }
                }
                self.outbox.put_back(orders);
                self.call_at = Some(now + pause);
            }
        }
    }

    /// These orders were carried out or not: nobody knows yet. Guards the channel's limits: sent again at
    /// once they would wait there twice, so an answer to their mark is awaited for as long as one may take.
    fn may_stand(&mut self, now: Timestamp, orders: &mut [Order]) {
        self.tally.again += 1;
        self.ended(now, orders);
        encode::sent_together(orders);
        for order in orders {
            if let Sets::Line {
                slice,
                server: Some(server),
            } = order.sets
            {
                self.charges[slice].perhaps = Some(server);
            }
        }
    }

    /// An order that the relay can't use is left out, but for a mark, and a slice whose line it was to set
    /// begins anew with what the store holds: the module must not believe in a line that is not there.
    fn refused(&mut self, now: Timestamp, order: Order) {
        self.tally.refused += 1;
        log::warn!("the relay refused {:?}", order.sets);
        self.call_at = Some(now + self.jittered());
        match order.sets {
            Sets::Line { slice, .. } if self.charges[slice].holds(&order) => {
                let Charge { perhaps, line, .. } = self.charges[slice];
                self.begin_anew(slice, perhaps.or(line));
            }
            // Moves wait for the answers to it.
            Sets::Mark { .. } => self.outbox.put_back(vec![order]),
            _ => {}
        }
    }

    /// These orders have been carried out.
    pub(super) fn settle(&mut self, now: Timestamp, orders: &[Order]) {
        self.ended(now, orders);
        for order in orders {
            if let Sets::Line { slice, server } = order.sets
                && self.charges[slice].holds(order)
            {
                (self.charges[slice].line, self.charges[slice].perhaps) = (server, None);
            }
        }
    }

    fn ended(&mut self, now: Timestamp, orders: &[Order]) {
        for order in orders {
            if let Sets::Mark { number } = order.sets {
                let marks = self.marks.iter_mut().filter(|mark| mark.number == number);
                marks.for_each(|mark| mark.ended = Some(now));
            }
        }
    }
}
