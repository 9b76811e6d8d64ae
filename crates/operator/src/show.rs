//! A running program's read-only pages as a table.

use serde_json::Value;

use lynxmill_deployment::client;

/// What stands at a control-plane node.
fn items(held: &Value) -> String {
    let count = |list: &str| held[list].as_array().map_or(0, Vec::len);
    let limits = held["Limits"]["Version"].as_str().unwrap_or("none");
    format!(
        "{} routes, {} services, limits in version {limits}",
        count("Routes"),
        count("Services")
    )
}

/// Its state: an edge tells whether it is ready, a control-plane node what stands.
fn state(address: &str) -> Result<Vec<(&'static str, String)>, String> {
    let ready = client::get(address, "/v1/readiness")?;
    if ready.status != 404 {
        return Ok(vec![
            ("program", "lynxmill-edge-proxy".to_owned()),
            ("state", ready.body.trim().to_owned()),
        ]);
    }
    let held = client::get(address, "/v1/configuration")?;
    let told = match held.status {
        200 => items(&held.json()?),
        status => format!("{status}: {}", held.body.trim()),
    };
    let mut rows = vec![
        ("program", "lynxmill-control-plane".to_owned()),
        ("state", told),
    ];
    let standing = client::get(address, "/v1/status")?;
    if standing.status == 200 {
        rows.extend(standing_rows(&standing.json()?));
    }
    Ok(rows)
}

/// How a control-plane node stands: contact, members, pending changes, and the progress of a snapshot.
fn standing_rows(status: &Value) -> Vec<(&'static str, String)> {
    let says = |name: &str| status[name].as_bool().unwrap_or_default();
    let members = status["Members"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str);
    let pending = format!(
        "{} changes, {} bytes",
        status["PendingChanges"], status["PendingBytes"]
    );
    let mut rows = vec![
        ("in-contact", says("InContact").to_string()),
        ("synchronized", says("Synchronized").to_string()),
        ("is-voter", says("IsVoter").to_string()),
        ("storage-failed", says("StorageFailed").to_string()),
        (
            "members",
            format!(
                "epoch {}: {}",
                status["Epoch"],
                members.collect::<Vec<_>>().join(" ")
            ),
        ),
        ("merged", status["Merged"].to_string()),
        ("pending", pending),
    ];
    if let Some(progress) = status["CatchingUp"].as_object() {
        let from = progress
            .get("From")
            .and_then(Value::as_str)
            .unwrap_or_default();
        let (read, left) = (&progress["Items"], &progress["ItemsLeft"]);
        rows.push((
            "catching-up",
            format!("{read} items read of {from}, {left} left"),
        ));
    }
    rows
}

pub(crate) fn run(address: &str) -> Result<(), String> {
    let answer = client::get(address, "/v1/counters")?;
    if answer.status != 200 {
        return Err(format!(
            "{address} answers {} to /v1/counters: is it a control or readiness address?",
            answer.status
        ));
    }
    let counters = answer.json()?;
    let counters = counters.as_object().ok_or("the counters are no object")?;
    let rows = state(address)?
        .into_iter()
        .map(|(name, told)| (name.to_owned(), told));
    let rows: Vec<_> = rows
        .chain(
            counters
                .iter()
                .map(|(name, n)| (name.clone(), n.to_string())),
        )
        .collect();
    let width = rows.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    rows.iter()
        .for_each(|(name, told)| println!("{name:width$}  {told}"));
    Ok(())
}
