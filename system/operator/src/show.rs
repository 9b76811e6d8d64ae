//! A running program's read-only pages as a table.

use serde_json::Value;

use crate::client;

/// What stands at a control-plane node.
fn items(held: &Value) -> String {
    let count = |list: &str| held[list].as_array().map_or(0, Vec::len);
    let limits = held["Limits"]["Version"].as_str().unwrap_or("none");
    format!("{} routes, {} services, limits in version {limits}", count("Routes"), count("Services"))
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
    Ok(vec![("program", "lynxmill-control-plane".to_owned()), ("state", told)])
}

pub fn run(address: &str) -> Result<(), String> {
    let answer = client::get(address, "/v1/counters")?;
    if answer.status != 200 {
        return Err(format!(
            "{address} answers {} to /v1/counters: is it a control or readiness address?",
            answer.status
        ));
    }
    let counters = answer.json()?;
    let counters = counters.as_object().ok_or("the counters are no object")?;
    let rows = state(address)?.into_iter().map(|(name, told)| (name.to_owned(), told));
    let rows: Vec<_> = rows.chain(counters.iter().map(|(name, n)| (name.clone(), n.to_string()))).collect();
    let width = rows.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    rows.iter().for_each(|(name, told)| println!("{name:width$}  {told}"));
    Ok(())
}
