//! Makes a plan that breaks an invariant shorter, as long as it breaks the same one.

use lynxmill_time::{TimeDelta, Timestamp};

use crate::faults::{Closing, Plan};
use crate::run::run;
use crate::world::RunOptions;

/// A bound on the runs, for plans on which everything breaks.
const MAX_RUNS: usize = 400;
/// Faults are not made shorter than this.
const MIN_DURATION: TimeDelta = TimeDelta::from_micros(50_000);
const MIN_ORDERS: usize = 2;

struct Shrinking<'a> {
    plan: Plan,
    options: &'a RunOptions,
    kind: std::mem::Discriminant<crate::violation::Violation>,
    runs: usize,
}

/// The shortest plan that was found to break the same invariant.
pub fn shrink(plan: &Plan, options: &RunOptions) -> Plan {
    let options = RunOptions {
        trace: false,
        ..options.clone()
    };
    let Some((_, violation)) = run(plan, &options).violation else {
        return plan.clone();
    };
    let kind = violation.kind();
    let mut shrinking = Shrinking {
        plan: plan.clone(),
        options: &options,
        kind,
        runs: 0,
    };
    loop {
        let before = shrinking.plan.clone();
        shrinking.without_closing();
        shrinking.without_faults();
        shrinking.shorter_faults();
        shrinking.fewer_callers();
        shrinking.sooner();
        if shrinking.plan == before || shrinking.runs >= MAX_RUNS {
            return shrinking.plan;
        }
    }
}

impl Shrinking<'_> {
    /// Takes a plan that breaks the same invariant; whether it does.
    fn keeps_violation(&mut self, plan: Plan) -> bool {
        if plan == self.plan || self.runs >= MAX_RUNS {
            return false;
        }
        self.runs += 1;
        let breaks = run(&plan, self.options)
            .violation
            .is_some_and(|(_, found)| found.kind() == self.kind);
        if breaks {
            self.plan = plan;
        }
        breaks
    }

    fn without_closing(&mut self) {
        self.keeps_violation(Plan {
            closing: Closing::Nothing,
            ..self.plan.clone()
        });
    }

    fn without_faults(&mut self) {
        let mut place = self.plan.faults.len();
        while place > 0 {
            place -= 1;
            let mut plan = self.plan.clone();
            plan.faults.remove(place);
            self.keeps_violation(plan);
        }
    }

    fn shorter_faults(&mut self) {
        for place in 0..self.plan.faults.len() {
            loop {
                let mut plan = self.plan.clone();
                let fault = &mut plan.faults[place];
                let shorter = fault.duration.times(0.5);
                if shorter < MIN_DURATION {
                    break;
                }
                fault.duration = shorter;
                if !self.keeps_violation(plan) {
                    break;
                }
            }
        }
    }

    fn fewer_callers(&mut self) {
        while self.plan.operators > 1
            && self.keeps_violation(Plan {
                operators: self.plan.operators - 1,
                ..self.plan.clone()
            })
        {}
        while self.plan.tasks > 0
            && self.keeps_violation(Plan {
                tasks: self.plan.tasks - 1,
                ..self.plan.clone()
            })
        {}
        while self.plan.edges > 0
            && self.keeps_violation(Plan {
                edges: self.plan.edges - 1,
                ..self.plan.clone()
            })
        {}
        while self.plan.orders > MIN_ORDERS
            && self.keeps_violation(Plan {
                orders: self.plan.orders / 2,
                ..self.plan.clone()
            })
        {}
    }

    /// Calm begins sooner.
    fn sooner(&mut self) {
        let last = self
            .plan
            .faults
            .last()
            .map_or(Timestamp::default(), |fault| fault.at);
        let calm_at = last + TimeDelta::from_secs(1.0);
        if calm_at < self.plan.calm_at {
            self.keeps_violation(Plan {
                calm_at,
                ..self.plan.clone()
            });
        }
    }
}
