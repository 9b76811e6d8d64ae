//! What clients sent, what tasks got and answered, and the rules that both have to keep.

use std::collections::HashMap;

use lynxmill_random::Pcg;

use crate::edge::MOST_ATTEMPTS;

/// Draws from a seed.
pub(crate) struct Chance(Pcg);

impl Chance {
    pub(crate) fn new(seed: u64, of: &str) -> Self {
        Chance(Pcg::new(
            of.bytes().fold(seed ^ 0xcbf2_9ce4_8422_2325, |h, b| {
                (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
            }),
        ))
    }

    /// Below `most`.
    pub(crate) fn below(&mut self, most: usize) -> usize {
        (self.0.unit() * most as f64) as usize
    }

    pub(crate) fn one_in(&mut self, times: usize) -> bool {
        self.below(times) == 0
    }
}

/// A request's arrival at a task.
pub(crate) struct Arrival {
    /// All of it, not a part.
    pub whole: bool,
    /// The task says that it did not run it.
    pub turned_away: bool,
    /// Status and body of the task's answer.
    pub answer: (u16, Vec<u8>),
}

/// A request as its client made it.
pub(crate) struct Request {
    pub repeatable: bool,
    /// It may go to no task.
    pub refused: bool,
    pub line: String,
    pub body: Vec<u8>,
    /// Its last byte was written.
    pub sent: bool,
    pub arrivals: Vec<Arrival>,
    /// Its client was told that it has not run and never will.
    pub promised: Option<u16>,
}

/// All requests by their ids.
#[derive(Default)]
pub(crate) struct Ledger {
    pub requests: HashMap<String, Request>,
    /// How exchanges ended, by what the client saw.
    pub seen: std::collections::BTreeMap<String, usize>,
    pub broken: Vec<String>,
}

impl Ledger {
    pub(crate) fn broke(&mut self, what: String) {
        self.broken.push(what);
    }

    pub(crate) fn count(&mut self, what: &str) {
        *self.seen.entry(what.to_owned()).or_default() += 1;
    }

    /// A request came to a task; the number of its arrival.
    pub(crate) fn arrived(&mut self, id: &str, line: &str, body: Option<&[u8]>) -> usize {
        let Some(request) = self.requests.get_mut(id) else {
            self.broke(format!("{id}: no client sent it"));
            return 0;
        };
        let whole = body.is_some();
        let changed = line != request.line || body.is_some_and(|body| body != request.body);
        let unfinished = !request.sent;
        request.arrivals.push(Arrival {
            whole,
            turned_away: false,
            answer: (0, Vec::new()),
        });
        let number = request.arrivals.len() - 1;
        if changed {
            self.broke(format!("{id}: changed on its way: {line}"));
        }
        if unfinished {
            self.broke(format!(
                "{id}: at a task before its client had sent all of it"
            ));
        }
        number
    }

    /// A task's answer to an arrival, before any of it is written.
    pub(crate) fn answered(
        &mut self,
        id: &str,
        number: usize,
        answer: (u16, Vec<u8>),
        turned_away: bool,
    ) {
        if let Some(arrival) = self
            .requests
            .get_mut(id)
            .and_then(|r| r.arrivals.get_mut(number))
        {
            (arrival.answer, arrival.turned_away) = (answer, turned_away);
        }
    }

    /// A client got a task's answer for a request.
    pub(crate) fn got_sealed(&mut self, id: &str, echoed: &str, status: u16, body: &[u8]) {
        let request = &self.requests[id];
        let own = request
            .arrivals
            .iter()
            .any(|a| a.whole && a.answer.0 == status && a.answer.1 == body);
        if echoed != id || !own {
            let text = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
            let told: Vec<_> = request
                .arrivals
                .iter()
                .map(|a| (a.whole, a.answer.0, a.answer.1.len()))
                .collect();
            let length = body.len();
            self.broke(format!(
                "{id}: got another answer, to {echoed}: {status}, {length} bytes of {told:?}: {text}"
            ));
        }
    }

    /// A client got 429, 503, 408 or 421.
    pub(crate) fn promised(&mut self, id: &str, status: u16) {
        self.requests.get_mut(id).expect("its own").promised = Some(status);
    }

    /// All that is broken once nothing is under way any more.
    pub(crate) fn judge(mut self) -> Vec<String> {
        let mut broken = std::mem::take(&mut self.broken);
        for (id, request) in &self.requests {
            let arrivals = &request.arrivals;
            let ran = arrivals.iter().filter(|a| !a.turned_away).count();
            let after = arrivals
                .iter()
                .position(|a| !a.turned_away)
                .is_some_and(|at| at + 1 < arrivals.len());
            if !request.repeatable && (ran > 1 || after) {
                broken.push(format!(
                    "{id}: sent again, {} arrivals, {ran} may have run",
                    arrivals.len()
                ));
            }
            if request.refused && !arrivals.is_empty() {
                broken.push(format!("{id}: at a task, and was to be refused"));
            }
            if arrivals.len() > MOST_ATTEMPTS {
                broken.push(format!("{id}: sent to {} tasks", arrivals.len()));
            }
            if let (Some(status), true) = (
                request.promised,
                arrivals.iter().any(|a| a.whole && !a.turned_away),
            ) {
                broken.push(format!(
                    "{id}: {status} was promised, and it had reached a task"
                ));
            }
        }
        broken
    }
}
