//! Items by name, each with its own version; the highest wins, set or dropped.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Map, Value};

use crate::change::{ConfigurationChange, LISTS};
use crate::identity::TakenVersion;
use crate::resources::{Limits, Route, Service};
use crate::rollouts::ROLLOUTS_PREFIX;
use crate::validation::ValidationError;

/// An item of the control state as it is kept and sent: `r/NAME`, `s/NAME`, `l/` (limits), `e/ZONE`
/// (evacuations), `v/SERVICE` (rollouts), `x/refusals` (the last refusal). `body` is the operator's JSON without `Version`, as it was sent.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Item {
    /// `r/NAME` (route), `s/NAME` (service), `l/` (limits), `e/ZONE` (evacuation), `v/SERVICE` (rollouts) or
    /// [`REFUSALS_KEY`].
    #[prost(string, tag = "1")]
    pub key: String,
    /// The operator's version; items are merged by it.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Whether this version removes the item.
    #[prost(bool, tag = "3")]
    pub dropped: bool,
    /// The operator's JSON without `Version`, as it was sent.
    #[prost(string, tag = "4")]
    pub body: String,
    /// The last versions of this name that were taken, the highest (its own) first; at most
    /// [`MAX_HISTORY`](crate::MAX_HISTORY) of them. Empty in items without history, as edges get
    /// them.
    #[prost(message, repeated, tag = "5")]
    pub history: Vec<TakenVersion>,
}

/// The key of a zone's evacuation.
pub fn evacuation_key(zone: &str) -> String {
    format!("e/{zone}")
}

/// The key of the item whose version is the number of the last change that was refused.
pub const REFUSALS_KEY: &str = "x/refusals";

/// The prefixes of items that the system gives versions to by itself.
const OWN_PREFIXES: [&str; 3] = ["e/", "x/", ROLLOUTS_PREFIX];

/// The item that says that a change was refused. It stands for nothing that is in force.
pub fn refusal(number: u64) -> Item {
    Item {
        key: REFUSALS_KEY.to_owned(),
        version: number,
        dropped: true,
        ..Item::default()
    }
}

/// The item that empties a zone or takes it back, after one of this version.
///
/// `POST` and `DELETE /v1/evacuation/ZONE` have no number on the wire, so a repeat can't be told from a new
/// order. They are orders of state: the last one that reaches the register stands, and a `POST` that is sent
/// again after the `DELETE` is a new order. To take it for a repeat would leave tasks in a zone that the
/// operator was just told is being emptied; taken for new, the answer is true whatever was meant. One that was sent
/// before the order that stands was acknowledged never gets here. Versions
/// are given here, one after another in the register, so evacuations need no history.
pub fn evacuation(zone: &str, on: bool, after: u64) -> Item {
    Item {
        key: evacuation_key(zone),
        version: after + 1,
        dropped: !on,
        ..Item::default()
    }
}

/// All items that are known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Items by key, removed ones among them.
    pub items: BTreeMap<String, Item>,
}

impl Item {
    /// Whether an operator gives this item its version; if not, the system does.
    pub fn has_operator_version(&self) -> bool {
        !OWN_PREFIXES
            .iter()
            .any(|prefix| self.key.starts_with(prefix))
    }
}

impl Configuration {
    /// Merges a copy of an item; whether it now stands instead of the one held. What the copy remembers of
    /// earlier versions is kept also when the copy itself is older.
    ///
    /// Copies of one name form a semilattice (of two copies the later one stands, histories are united), so
    /// members agree whatever copies they got, in whatever order and however often.
    pub fn merge(&mut self, item: &Item) -> bool {
        match self.items.get_mut(&item.key) {
            Some(held) => held.merge_copy(item),
            None => {
                self.items.insert(item.key.clone(), item.clone());
                true
            }
        }
    }

    /// Applies a call that was checked. Returns what has to be agreed on: items that are newer than what was
    /// held, and held items that remember one more lower version, so that its number is not confirmed for
    /// other content either. An item whose version was taken before, or is older than the history reaches, is
    /// not among them.
    pub fn apply(&mut self, change: &ConfigurationChange) -> Vec<Item> {
        let mut news = Vec::new();
        for item in &change.items {
            let known = |held: &Item| held.content_of(item.version).is_some();
            let was_known = self.items.get(&item.key).is_some_and(known);
            let stands = self.merge(item);
            let held = &self.items[&item.key];
            if stands || (!was_known && known(held)) {
                news.push(held.clone());
            }
        }
        news
    }

    /// The version of an item, 0 if it is not known.
    pub fn version(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.version)
    }

    pub(crate) fn present(&self, prefix: &str) -> impl Iterator<Item = &Item> {
        let of = self
            .items
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix));
        of.map(|(_, item)| item).filter(|item| !item.dropped)
    }

    /// The routes that stand.
    pub fn routes(&self) -> impl Iterator<Item = Route> {
        self.present("r/")
            .filter_map(|item| serde_json::from_str(&item.body).ok())
    }

    /// The services that stand.
    pub fn services(&self) -> impl Iterator<Item = Service> {
        self.present("s/")
            .filter_map(|item| serde_json::from_str(&item.body).ok())
    }

    /// The limits that stand, or those that hold without any.
    pub fn limits(&self) -> Limits {
        self.present("l/")
            .find_map(|item| serde_json::from_str(&item.body).ok())
            .unwrap_or_default()
    }

    /// Zones that are to get nothing.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.present("e/")
            .filter_map(|item| item.key.strip_prefix("e/"))
    }

    /// Whether a call may follow what is held.
    ///
    /// Each item is judged by its identity first (see `Item::identity`): the same order again is no fault,
    /// other content under a version that was taken is one. A version lower than the one held that was never
    /// taken, or is older than the history reaches, is passed over: the protocol says that it "changes
    /// nothing", and wants a valid change that was overtaken to be acknowledged. It may also have been taken
    /// before; refusing it could then refuse an order that is sent again. As it never stands, nobody is
    /// confirmed something that is not so.
    ///
    /// The rest is checked only of items that are news; a call without any is taken whatever else stands.
    ///
    /// # Errors
    ///
    /// The first rule that the change breaks.
    pub fn check(&self, change: &ConfigurationChange) -> Result<(), ValidationError> {
        self.check_identities(change)?;
        let mut next = self.clone();
        let news = next.apply(change);
        let routes_matter = news
            .iter()
            .any(|item| item.key.starts_with("r/") || item.dropped);
        if routes_matter {
            next.check_routes()
        } else {
            Ok(())
        }
    }

    /// Checks that no version of a call has other content than it had before, or twice in the call.
    fn check_identities(&self, change: &ConfigurationChange) -> Result<(), ValidationError> {
        let mut in_call: BTreeMap<(&str, u64), u64> = BTreeMap::new();
        for item in &change.items {
            let content = item.identity().content;
            let before = self
                .items
                .get(&item.key)
                .and_then(|held| held.content_of(item.version));
            let beside = in_call.insert((&item.key, item.version), content);
            if before.is_some_and(|other| other != content)
                || beside.is_some_and(|other| other != content)
            {
                return Err(ValidationError::VersionTaken(
                    item.key.clone(),
                    item.version,
                ));
            }
        }
        Ok(())
    }

    /// Checks that routes name known services, and that no two have the same place.
    fn check_routes(&self) -> Result<(), ValidationError> {
        let known: BTreeSet<&str> = self
            .present("s/")
            .filter_map(|i| i.key.strip_prefix("s/"))
            .collect();
        let mut places: BTreeMap<(String, String), String> = BTreeMap::new();
        for route in self.routes() {
            if let Some((service, _)) = route
                .services()
                .into_iter()
                .find(|(s, _)| !known.contains(s))
            {
                return Err(ValidationError::UnknownService(
                    route.name.clone(),
                    service.to_owned(),
                ));
            }
            let place = (route.host.to_ascii_lowercase(), route.path_prefix.clone());
            if let Some(other) = places.insert(place, route.name.clone()) {
                return Err(ValidationError::DuplicateRoute(other, route.name));
            }
        }
        Ok(())
    }

    /// All that stands, laid out as in the first call's `Upsert`.
    pub fn read_back(&self) -> Value {
        let whole = |item: &Item| {
            let mut value: Value = serde_json::from_str(&item.body).unwrap_or_default();
            value["Version"] = Value::String(format!("{:08x}", item.version));
            value
        };
        let mut all = Map::new();
        for (list, prefix) in LISTS {
            all.insert(list.to_owned(), self.present(prefix).map(whole).collect());
        }
        if let Some(limits) = self.present("l/").next() {
            all.insert("Limits".to_owned(), whole(limits));
        }
        Value::Object(all)
    }
}
