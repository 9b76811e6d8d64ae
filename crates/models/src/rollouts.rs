//! Rollouts of two versions: orders and decisions of two members that know the newest state late, arrive late and twice, and
//! an edge that is told of states in any order. What is agreed on is decided by the shipping library.

use lynxmill_configuration::{
    Configuration, Item, RolloutDecision, RolloutOrder, RolloutState, RolloutStep, ServiceRollouts,
    VersionAccess,
};

use crate::search::Model;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Bug {
    /// Nothing.
    #[default]
    None,
    /// An edge goes by what it was told last, however old that is.
    LastToldCounts,
    /// A member's decision is carried out on the share that stands, whatever it was based on.
    AnyShareCounts,
}

const SERVICE: &str = "pages";
const BASE: &str = "v1";
const VERSIONS: [&str; 2] = ["v2", "v3"];
const TRIAL: f64 = 0.05;
const MEMBERS: usize = 2;
/// How often an order may arrive.
const ARRIVALS: u8 = 2;

/// The model and its size.
#[derive(Clone, Copy, Debug)]
pub struct RolloutModel {
    /// What is broken on purpose.
    pub bug: Bug,
    /// Decisions that members make in all.
    pub decisions: u8,
    /// States that are told to the edge in all.
    pub notices: u8,
}

/// A decision under way to agreement; it may arrive twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingStep {
    version: usize,
    from_percent: u8,
    decision: Decided,
    arrivals_left: u8,
}

/// A decision without its numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decided {
    /// The trial begins.
    Try,
    /// All requests go to the version.
    TakeOver,
    /// The version has taken over.
    Complete,
    /// The version gets nothing.
    Revert,
}

/// One item as it was agreed on.
type AgreedItem = (u64, String);

/// The state of all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// All that was agreed on, the newest last.
    agreed: Vec<AgreedItem>,
    /// What each member knows, as a place in it.
    members: [usize; MEMBERS],
    /// What the edge goes by, and the newest that it was told, as places.
    edge: usize,
    newest_told: usize,
    arrivals_left: [u8; VERSIONS.len()],
    pending: Vec<PendingStep>,
    decisions_left: u8,
    notices_left: u8,
}

/// Something that may happen.
#[derive(Clone, Debug)]
pub enum Action {
    /// An order arrives, the first time or again.
    Order(usize),
    /// A member learns the newest state.
    Learn(usize),
    /// A member decides on a version by what it knows.
    Decide(usize, usize, Decided),
    /// A decision is agreed on.
    Agree(usize),
    /// The edge is told of a state.
    Tell(usize),
}

fn configuration(agreed: Option<&AgreedItem>) -> Configuration {
    let mut configuration = Configuration::default();
    configuration.merge(&Item {
        key: format!("s/{SERVICE}"),
        version: 1,
        body: format!(r#"{{"Name":"{SERVICE}","MaxConns":100}}"#),
        ..Item::default()
    });
    if let Some((version, body)) = agreed {
        configuration.merge(&Item {
            key: lynxmill_configuration::rollouts_key(SERVICE),
            version: *version,
            body: body.clone(),
            ..Item::default()
        });
    }
    configuration
}

fn percent(share: f64) -> u8 {
    (share * 100.0).round() as u8
}

impl State {
    fn rollouts_at(&self, place: usize) -> ServiceRollouts {
        let agreed = place.checked_sub(1).and_then(|last| self.agreed.get(last));
        configuration(agreed).rollouts(SERVICE).unwrap_or_default()
    }

    fn newest(&self) -> Configuration {
        configuration(self.agreed.last())
    }

    fn agree(&mut self, item: Item) {
        self.agreed.push((item.version, item.body));
    }

    fn number(&self, version: usize) -> Option<u64> {
        let rollouts = self.rollouts_at(self.agreed.len());
        rollouts
            .of_version(VERSIONS[version])
            .map(|rollout| rollout.number)
    }

    fn order(&mut self, version: usize) -> Option<()> {
        self.arrivals_left[version] = self.arrivals_left[version].checked_sub(1)?;
        let order = RolloutOrder {
            service: SERVICE.to_owned(),
            target_version: VERSIONS[version].to_owned(),
            duration_ms: 12_000,
            base_versions: vec![BASE.to_owned()],
        };
        if let Ok(Some(item)) = self.newest().order_rollout(&order, 0) {
            self.agree(item);
        }
        Some(())
    }

    /// What a member may decide on a version by what it knows.
    fn decide(&mut self, member: usize, version: usize, decision: Decided) -> Option<()> {
        self.decisions_left = self.decisions_left.checked_sub(1)?;
        let known = self.rollouts_at(self.members[member]);
        let rollout = known
            .of_version(VERSIONS[version])
            .filter(|r| r.is_in_progress())?;
        let from_percent = percent(rollout.share);
        let is_due = match decision {
            Decided::Try => from_percent == 0,
            Decided::TakeOver => from_percent == percent(TRIAL),
            Decided::Complete => from_percent == 100,
            Decided::Revert => true,
        };
        let step = PendingStep {
            version,
            from_percent,
            decision,
            arrivals_left: ARRIVALS,
        };
        if !is_due || self.pending.contains(&step) {
            return None;
        }
        self.pending.push(step);
        Some(())
    }

    fn carry_out(&mut self, place: usize, bug: Bug) -> Option<()> {
        let pending = self.pending.get_mut(place)?;
        pending.arrivals_left = pending.arrivals_left.checked_sub(1)?;
        let pending = *pending;
        let number = self.number(pending.version)?;
        let newest = self.newest();
        let rollouts = newest.rollouts(SERVICE).unwrap_or_default();
        let standing = rollouts.of_version(VERSIONS[pending.version])?.share;
        let from_share = if bug == Bug::AnyShareCounts {
            standing
        } else {
            f64::from(pending.from_percent) / 100.0
        };
        let decision = match pending.decision {
            Decided::Try => RolloutDecision::Share(TRIAL),
            Decided::TakeOver => RolloutDecision::Share(1.0),
            Decided::Complete => RolloutDecision::Complete,
            Decided::Revert => RolloutDecision::Revert,
        };
        let step = RolloutStep {
            service: SERVICE.to_owned(),
            number,
            from_share,
            decision,
            elapsed_ms: 0,
        };
        if let Some(item) = newest.advance_rollout(&step, 0) {
            self.agree(item);
        }
        Some(())
    }

    fn tell(&mut self, place: usize, bug: Bug) -> Option<()> {
        self.notices_left = self.notices_left.checked_sub(1)?;
        self.newest_told = self.newest_told.max(place);
        self.edge = if bug == Bug::LastToldCounts {
            place
        } else {
            self.edge.max(place)
        };
        Some(())
    }

    /// How a rollout that had ended has come back, or its share has fallen.
    fn went_back(&self) -> Option<String> {
        let mut before = ServiceRollouts::default();
        for place in 1..=self.agreed.len() {
            let now = self.rollouts_at(place);
            for known in &before.rollouts {
                let later = now.rollouts.iter().find(|r| r.number == known.number)?;
                let has_ended = known.state != RolloutState::InProgress;
                if has_ended && later.state != known.state {
                    return Some(format!("{} had ended otherwise", known.target_version));
                }
                if later.is_in_progress() && later.share < known.share {
                    return Some(format!("the share of {} falls", known.target_version));
                }
            }
            before = now;
        }
        None
    }
}

impl Model for RolloutModel {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        vec![State {
            agreed: Vec::new(),
            members: [0; MEMBERS],
            edge: 0,
            newest_told: 0,
            arrivals_left: [ARRIVALS; VERSIONS.len()],
            pending: Vec::new(),
            decisions_left: self.decisions,
            notices_left: self.notices,
        }]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let decisions = [
            Decided::Try,
            Decided::TakeOver,
            Decided::Complete,
            Decided::Revert,
        ];
        let mut actions: Vec<Action> = (0..VERSIONS.len()).map(Action::Order).collect();
        for member in 0..MEMBERS {
            actions.push(Action::Learn(member));
            for version in 0..VERSIONS.len() {
                let decide = |decision| Action::Decide(member, version, decision);
                actions.extend(decisions.map(decide));
            }
        }
        actions.extend((0..state.pending.len()).map(Action::Agree));
        actions.extend((1..=state.agreed.len()).map(Action::Tell));
        actions
    }

    fn step(&self, state: &State, action: &Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Order(version) => next.order(*version)?,
            Action::Learn(member) => next.members[*member] = next.agreed.len(),
            Action::Decide(member, version, decision) => {
                next.decide(*member, *version, *decision)?;
            }
            Action::Agree(place) => next.carry_out(*place, self.bug)?,
            Action::Tell(place) => next.tell(*place, self.bug)?,
        }
        (next != *state).then_some(next)
    }

    fn violation(&self, state: &State) -> Option<String> {
        if let Some(text) = state.went_back() {
            return Some(text);
        }
        let told = state.rollouts_at(state.newest_told);
        let edge = state.rollouts_at(state.edge);
        for version in VERSIONS {
            let was_reverted = told
                .of_version(version)
                .is_some_and(|rollout| rollout.state == RolloutState::Reverted);
            if was_reverted && edge.access(version) != VersionAccess::Denied {
                return Some(format!("the edge sends to {version}, which was reverted"));
            }
        }
        None
    }
}
