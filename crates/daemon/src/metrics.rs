//! `GET /metrics`, in the Prometheus text form, where the file asks for it. All is counted elsewhere and put together
//! when somebody asks: nothing is done for it in between.

use lynxmill_assigner_state::State;
use metrics::{counter, describe_counter, describe_gauge, gauge};
use metrics_exporter_prometheus::PrometheusBuilder;
use serde_json::Value;

use crate::happened;

/// Figures of the status that only grow.
const COUNTERS: [&str; 7] = [
    "rounds",
    "messages",
    "reports",
    "reports_spoilt",
    "calls",
    "calls_of_unknown_fate",
    "orders_refused",
];
const PARTS: [f64; 3] = [0.5, 0.99, 1.0];

fn status(state: &State) {
    let Ok(Value::Object(fields)) = serde_json::to_value(state.status()) else {
        return;
    };
    for (name, value) in fields {
        let full = format!("lynxmill_{name}");
        match value {
            Value::Bool(flag) => gauge!(full).set(f64::from(u8::from(flag))),
            Value::Number(number) if COUNTERS.contains(&name.as_str()) => {
                counter!(format!("{full}_total")).absolute(number.as_u64().unwrap_or(0));
            }
            Value::Number(number) => gauge!(full).set(number.as_f64().unwrap_or(0.0)),
            _ => {}
        }
    }
}

fn picture(state: &State) {
    let picture = state.picture();
    describe_gauge!(
        "lynxmill_server_load",
        "seconds of latency objective a second"
    );
    for server in &picture.servers {
        let name = server.name.clone();
        let flag = |flag: bool| f64::from(u8::from(flag));
        gauge!("lynxmill_server_slices", "server" => name.clone()).set(server.slices as f64);
        gauge!("lynxmill_server_load", "server" => name.clone()).set(server.load);
        gauge!("lynxmill_server_admits", "server" => name.clone()).set(server.admit);
        gauge!("lynxmill_server_weight", "server" => name.clone()).set(server.weight);
        gauge!("lynxmill_server_out_by_hand", "server" => name.clone()).set(flag(server.out));
        gauge!("lynxmill_server_suspect", "server" => name).set(flag(server.suspect));
    }
    gauge!("lynxmill_slices_moving")
        .set(picture.slices.iter().filter(|slice| slice.moving).count() as f64);
}

/// What the member beside it counts: what it sends and hears, what it left out by reason.
fn member(tally: &Value) {
    let number = |name: &str| tally[name].as_f64().unwrap_or(0.0);
    gauge!("lynxmill_members").set(number("members"));
    gauge!("lynxmill_member_patience").set(number("health"));
    for name in ["sent", "sent_bytes", "held_back", "heard"] {
        counter!(format!("lynxmill_member_{name}_total")).absolute(number(name) as u64);
    }
    for (reason, times) in tally["refused_by_reason"].as_object().into_iter().flatten() {
        counter!("lynxmill_member_refused_total", "reason" => reason.clone())
            .absolute(times.as_u64().unwrap_or(0));
    }
}

/// The whole of it.
pub(crate) fn text(state: &State, members: Option<&Value>) -> String {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        status(state);
        picture(state);
        members.into_iter().for_each(member);
        describe_counter!(
            "lynxmill_connections_ended_total",
            "by road and reason code, as in the log"
        );
        describe_gauge!(
            "lynxmill_order_seconds",
            "from an order by hand until it is done"
        );
        happened::look(|_, happened| {
            for (road, reason, times) in happened.counts() {
                counter!("lynxmill_connections_ended_total", "road" => road, "reason" => reason)
                    .absolute(times);
            }
            let (done, seconds) = happened.orders(&PARTS);
            counter!("lynxmill_orders_by_hand_done_total").absolute(done);
            for (part, seconds) in PARTS.iter().zip(seconds) {
                gauge!("lynxmill_order_seconds", "quantile" => part.to_string()).set(seconds);
            }
        });
    });
    handle.render()
}
