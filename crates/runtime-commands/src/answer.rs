//! What commands are answered: lines of words for people, JSON for programs.

use lynxmill_assigner_state::hand::{Entry, Order, Said, Stage, Want};
use lynxmill_assigner_state::{Picture, Status};
use serde_json::{Value, json};

use crate::line::Show;

fn order(order: &Order) -> String {
    match order {
        Order::Server { server, want } => {
            let want = match want {
                Want::Ready => "ready",
                Want::Drain => "drain",
                Want::Maint => "maint",
            };
            format!("server {server} state {want}")
        }
        Order::Weight { server, weight } => format!("weight {server} {weight}"),
        Order::Owner { slice, server } => format!("slice {slice} owner {server}"),
        Order::Health {
            server,
            watched: true,
        } => format!("health {server} enabled"),
        Order::Health {
            server,
            watched: false,
        } => format!("health {server} disabled"),
    }
}

/// How an order stands, in one line.
pub fn entry(entry: &Entry) -> String {
    let (stage, why) = match &entry.stage {
        Stage::Accepted => ("accepted", ""),
        Stage::Begun => ("begun", ""),
        Stage::Done => ("done", ""),
        Stage::Refused(reason) => ("refused", reason.as_str()),
        Stage::Replaced => ("replaced", "a later order about the same took its place"),
        Stage::Over => ("over", "its time is over"),
    };
    let reason = if why.is_empty() {
        String::new()
    } else {
        format!(": {why}")
    };
    format!("{stage} id={} {}{reason}", entry.id, order(&entry.order))
}

/// What is said to who gives an order; without a journal orders are of this life of the assigner only.
pub fn said(said: &Said, journaled: bool) -> String {
    match said {
        Said::Stands(of) if of.stage == Stage::Begun && !journaled => {
            format!("{} (until the assigner restarts)", entry(of))
        }
        Said::Stands(of) => entry(of),
        Said::Taken(of) => format!(
            "refused: id {} was given to another order: {}",
            of.id,
            entry(of)
        ),
        Said::Full { return_ms } => {
            format!("refused: too many orders are under way, return after {return_ms} ms")
        }
    }
}

fn table(heads: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut widths: Vec<usize> = heads.iter().map(|head| head.len()).collect();
    for row in &rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let cells: Vec<String> = cells
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        format!("{}\n", cells.join("  ").trim_end())
    };
    let mut text = line(&mut heads.iter().copied());
    for row in &rows {
        text.push_str(&line(&mut row.iter().map(String::as_str)));
    }
    text
}

fn text(of: Option<&Value>) -> String {
    match of {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => "-".to_owned(),
        Some(Value::Number(number)) if number.is_f64() => {
            format!("{:.2}", number.as_f64().unwrap_or(0.0))
        }
        Some(other) => other.to_string(),
    }
}

/// Objects as a table, by these of their keys.
fn rows(heads: &[&str], of: &Value) -> String {
    let list = of.as_array().map(Vec::as_slice).unwrap_or_default();
    table(
        heads,
        list.iter()
            .map(|row| heads.iter().map(|head| text(row.get(head))).collect())
            .collect(),
    )
}

/// What has happened and what is allowed, as lists or records.
pub fn tabled(what: Show, json: bool, told: &Value) -> String {
    if json {
        return format!("{told}\n");
    }
    match what {
        Show::Events => rows(&["event", "ago_ms", "what", "text"], told),
        Show::Errors => rows(&["road", "reason", "times", "ago_ms", "detail"], told),
        Show::Streams => rows(&["stream", "peer"], told),
        Show::Members => rows(
            &[
                "member",
                "at",
                "state",
                "seconds",
                "incarnation",
                "weight",
                "wrong",
            ],
            told,
        ),
        Show::Evidence => rows(&["server", "by", "tries", "lost", "age_s", "doubted"], told),
        _ => pairs(told),
    }
}

/// A record, a line each.
fn pairs(of: &Value) -> String {
    let pairs = of.as_object().into_iter().flatten();
    pairs
        .map(|(key, value)| format!("{key}: {}\n", text(Some(value))))
        .collect()
}

/// What `show` is answered of the assigner itself. `sessions` tells of each session its number, level and peer.
pub fn looked<'a>(
    what: Show,
    json: bool,
    status: &Status,
    picture: &Picture,
    orders: impl Iterator<Item = &'a Entry>,
    sessions: &[(u64, &'static str, String)],
) -> String {
    let told = match what {
        Show::Info => json!(status),
        Show::Servers => json!(picture.servers),
        Show::Slices => json!(picture.slices),
        Show::Proxies => json!(picture.proxies),
        Show::Pending => json!(
            orders
                .filter(|entry| !entry.stage.ended())
                .collect::<Vec<_>>()
        ),
        Show::Orders => json!(orders.collect::<Vec<_>>()),
        Show::Sessions => {
            let session = |(id, level, peer): &(u64, &str, String)| json!({"session": id, "level": level, "peer": peer});
            Value::Array(sessions.iter().map(session).collect())
        }
        other => return tabled(other, json, &Value::Null),
    };
    if json {
        return format!("{told}\n");
    }
    match what {
        Show::Info => pairs(&told),
        Show::Servers => rows(
            &[
                "name", "listed", "out", "trusted", "weight", "suspect", "admit", "load", "slices",
            ],
            &told,
        ),
        Show::Slices => rows(&["slice", "owner", "moving", "wished"], &told),
        Show::Proxies => picture
            .proxies
            .iter()
            .map(|proxy| format!("{proxy}\n"))
            .collect(),
        Show::Pending | Show::Orders => {
            let entries: Vec<Entry> = serde_json::from_value(told).unwrap_or_default();
            entries
                .iter()
                .map(|of| format!("{}\n", entry(of)))
                .collect()
        }
        Show::Sessions => rows(&["session", "level", "peer"], &told),
        other => tabled(other, json, &told),
    }
}
