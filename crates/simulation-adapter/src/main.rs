//! Puts lynxmill's decisions on the simulator's wire: batches on standard input, replies on standard output.

mod decode;
mod writer;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

use lynxmill_assigner::{Assigner, Listing};
use lynxmill_assigner_settings::{DecodeError, flag, list, number, span, text};
use lynxmill_time::Timestamp;
use serde_json::{Value, json};

use decode::name_and_fields;
use writer::Reply;

#[derive(Default)]
struct Host {
    assigners: BTreeMap<u64, Assigner>,
    sheets: BTreeMap<u64, Vec<Listing>>,
}

impl Host {
    fn batch(&mut self, line: &str) -> Result<Value, DecodeError> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("batch: {e}"))?;
        let now = Timestamp::from_secs(number(&batch, "wall")?);
        let mut replies = Vec::new();
        for group in list(&batch, "assigners")? {
            let id = number(group, "i")? as u64;
            let orders = self.turn(id, now, list(group, "inbox")?)?;
            if !orders.is_empty() {
                replies.push(json!({"i": id, "do": orders}));
            }
        }
        Ok(json!({ "assigners": replies }))
    }

    /// One instance's round. What came before its last start or end in the batch concerns nobody any more.
    fn turn(
        &mut self,
        id: u64,
        now: Timestamp,
        inbox: &[Value],
    ) -> Result<Vec<Value>, DecodeError> {
        let mut rest = 0;
        for (at, event) in inbox.iter().enumerate() {
            let (name, fields) = name_and_fields(event)?;
            match name {
                "create" => {
                    let facts = lynxmill_assigner_settings::facts(
                        lynxmill_assigner_settings::field(fields, "facts")?,
                    )?;
                    self.assigners
                        .insert(id, Assigner::new(decode::seed(fields)?, now, facts));
                    rest = at + 1;
                }
                "destroy" => {
                    self.assigners.remove(&id);
                    rest = at + 1;
                }
                _ => {}
            }
        }
        let (moot, inbox) = inbox.split_at(rest);
        for event in moot {
            self.note_sheet(event)?;
        }
        let mut reply = Reply::default();
        let Some(mut assigner) = self.assigners.remove(&id) else {
            inbox.iter().try_for_each(|event| self.note_sheet(event))?;
            return Ok(reply.orders);
        };
        let round = catch_unwind(AssertUnwindSafe(|| {
            let feed = |a: &mut Assigner| inbox.iter().try_for_each(|event| self.feed(a, event));
            assigner.round(now, feed, &mut reply)
        }));
        match round {
            Ok(fed) => fed?,
            Err(panic) => {
                let text = panic.downcast_ref::<String>().map(String::as_str);
                let text = text
                    .or(panic.downcast_ref::<&str>().copied())
                    .unwrap_or("the decision code panicked");
                reply.orders.push(json!({"die": {"line": text}}));
            }
        }
        self.assigners.insert(id, assigner);
        Ok(reply.orders)
    }

    fn note_sheet(&mut self, event: &Value) -> Result<(), DecodeError> {
        if let ("sheet", fields) = name_and_fields(event)? {
            let entries = list(fields, "entries")?
                .iter()
                .map(decode::listing)
                .collect::<Result<_, _>>()?;
            self.sheets.insert(number(fields, "sheet")? as u64, entries);
        }
        Ok(())
    }

    /// Decodes one event and calls the module's method for it.
    fn feed(&mut self, to: &mut Assigner, event: &Value) -> Result<(), DecodeError> {
        let (name, fields) = name_and_fields(event)?;
        let index = |key| number(fields, key).map(|n| n as usize);
        match name {
            "sheet" => self.note_sheet(event)?,
            "announce" => match number(fields, "scope")? as u64 {
                3 => to.list_failed(),
                scope => {
                    let sheet = number(fields, "sheet")? as u64;
                    let entries = self
                        .sheets
                        .get(&sheet)
                        .ok_or(format!("announce: no sheet {sheet}"))?;
                    to.listed(scope != 0, scope == 2, entries);
                }
            },
            "custody" => to.custody(index("tbl")?, flag(fields, "on")?),
            "in_store" => to.stored(index("tbl")?, number(fields, "task")? as u32),
            "subscribed" => to.joined(index("px")?),
            "detached" => to.parted(index("px")?),
            "caught_up" => {
                to.answered(
                    index("px")?,
                    number(fields, "number")? as u16,
                    span(fields, "elapsed")?,
                );
            }
            "checked" => to.probed(
                number(fields, "task")? as u32,
                number(fields, "outcome")? == 0.0,
            ),
            "heard" => {
                let (tries, lost) = (number(fields, "tries_n")?, number(fields, "lost")?);
                let (elapsed, report) = (span(fields, "elapsed")?, decode::report(fields));
                let over = span(fields, "over")?;
                to.heard(
                    number(fields, "task")? as u32,
                    tries,
                    lost,
                    elapsed,
                    over,
                    &report,
                );
            }
            "key_load" => {
                let operation = to.operation(text(fields, "class")?);
                let operation = operation.ok_or(format!("key_load: unknown class in {fields}"))?;
                to.demand(
                    index("tbl")?,
                    operation,
                    number(fields, "tries_n")?,
                    span(fields, "over")?,
                );
            }
            _ => {}
        }
        Ok(())
    }
}

fn main() -> ExitCode {
    let mut host = Host::default();
    let mut out = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let reply = line
            .map_err(|e| e.to_string())
            .and_then(|line| host.batch(&line));
        let written = reply.and_then(|reply| {
            writeln!(out, "{reply}")
                .and_then(|()| out.flush())
                .map_err(|e| format!("standard output: {e}"))
        });
        if let Err(fail) = written {
            eprintln!("lynxmill-benchlink: {fail}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
