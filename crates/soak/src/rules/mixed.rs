//! MIXED: a client gets a success that lacks the task's seal, or a body other than the task's whole body, or an answer that
//! belongs to another request.

use super::{Rule, Violation};
use crate::ledger::{Outcome, Records};

pub(super) fn check(records: &Records) -> Vec<Violation> {
    let tries = records.tries.iter();
    tries
        .filter_map(|sent| match &sent.outcome {
            Outcome::Answered {
                status,
                seal,
                is_own,
            } if (200..300).contains(status) && (!is_own || seal.is_empty()) => {
                let text = format!(
                    "edge-{} answered {status} with seal {seal:?}",
                    sent.edge + 1
                );
                Some(Violation::new(Rule::Mixed, sent.ended, &sent.id, text))
            }
            _ => None,
        })
        .collect()
}
