//! The log: lines for people, or a JSON object a line with what each is about under names of its own.

use std::io::Write;

use env_logger::{Builder, Env};
use log::LevelFilter;
use log::kv::{Error, Key, Value as Of, VisitSource};
use serde_json::{Map, Value};

/// What bad HTTP does to a connection is in its own line. Own lines of all levels pass here: the level at the runtime
/// socket, or else the usual one, holds them back before they are made.
const FILTER: &str = "info,lynxmill=trace,actix_server=warn,actix_http=off";
const USUAL: LevelFilter = LevelFilter::Info;

struct KeyValues<'a>(&'a mut Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for KeyValues<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Of<'kvs>) -> Result<(), Error> {
        let told = match (value.to_u64(), value.to_f64()) {
            (Some(whole), _) => Value::from(whole),
            (None, Some(number)) => Value::from(number),
            _ => Value::from(value.to_string()),
        };
        self.0.insert(key.to_string(), told);
        Ok(())
    }
}

/// Begins: RUST_LOG sets levels, LYNXMILL_LOG=json the form.
pub(crate) fn begin() {
    let told = std::env::var_os("RUST_LOG").is_some();
    let mut builder = Builder::from_env(Env::default().default_filter_or(FILTER));
    if std::env::var("LYNXMILL_LOG").is_ok_and(|form| form == "json") {
        builder.format(|out, record| {
            let mut line = Map::new();
            line.insert(
                "time".to_owned(),
                Value::from(out.timestamp_millis().to_string()),
            );
            line.insert("level".to_owned(), Value::from(record.level().as_str()));
            line.insert("target".to_owned(), Value::from(record.target()));
            line.insert("text".to_owned(), Value::from(record.args().to_string()));
            let _ = record.key_values().visit(&mut KeyValues(&mut line));
            writeln!(out, "{}", Value::Object(line))
        });
    } else {
        // The words of a line tell all of it.
        builder.format_key_values(|_, _| Ok(()));
    }
    builder.init();
    if !told {
        log::set_max_level(USUAL);
    }
}
