//! `lynxmill top`: a live view of what an assigner holds, through its runtime socket.

use std::io::IsTerminal;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Args;
use ratatui::Frame;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind, KeyModifiers};
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Modifier, Style};
use ratatui::widgets::{Block, Cell, Paragraph, Row, Table};
use serde_json::Value;

use crate::ctl::{SocketArg, ask};
use crate::end::{CliError, other};

#[derive(Args)]
pub(crate) struct TopArgs {
    #[command(flatten)]
    place: SocketArg,
    /// Seconds between two looks.
    #[arg(long, default_value_t = 1.0)]
    every: f64,
    /// One look, as text, and no more: for terminals that are none.
    #[arg(long)]
    once: bool,
    /// Columns and lines of that one look.
    #[arg(long, default_value = "120x40", value_parser = size)]
    size: (u16, u16),
}

fn size(text: &str) -> Result<(u16, u16), String> {
    let read = text
        .split_once('x')
        .and_then(|(w, h)| Some((w.parse().ok()?, h.parse().ok()?)));
    read.filter(|(w, h)| (20..=400).contains(w) && (8..=400).contains(h))
        .ok_or_else(|| "as 120x40".to_owned())
}

/// What is asked for at each look, a line of JSON each.
const LOOK: &str =
    "show info json; show servers json; show slices json; show pending json; show events json\n";

/// What one look has brought.
#[derive(Default)]
pub(crate) struct Seen {
    info: Value,
    servers: Vec<Value>,
    slices: Vec<Value>,
    pending: Vec<Value>,
    events: Vec<Value>,
}

impl Seen {
    /// # Errors
    /// What the assigner said instead.
    pub(crate) fn read(answer: &str) -> Result<Seen, String> {
        let lines: Option<Vec<Value>> = answer
            .lines()
            .map(|line| serde_json::from_str(line).ok())
            .collect();
        let list = |of: &Value| of.as_array().cloned().unwrap_or_default();
        match lines.as_deref() {
            Some([info, servers, slices, pending, events]) => Ok(Seen {
                info: info.clone(),
                servers: list(servers),
                slices: list(slices),
                pending: list(pending),
                events: list(events),
            }),
            _ => Err(answer
                .lines()
                .next()
                .unwrap_or("nothing")
                .chars()
                .take(200)
                .collect()),
        }
    }
}

fn text(of: &Value, key: &str) -> String {
    match &of[key] {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.2}", number.as_f64().unwrap_or(0.0))
        }
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

fn count(of: &[Value], so: impl Fn(&Value) -> bool) -> usize {
    of.iter().filter(|of| so(of)).count()
}

fn head(seen: &Seen, told: &str) -> Paragraph<'static> {
    let field = |key| text(&seen.info, key);
    let moving = count(&seen.slices, |slice| slice["moving"] == true);
    let unowned = count(&seen.slices, |slice| slice["owner"].is_null());
    let lines = format!(
        "{}  proxies {}  servers {}  slices {} (moving {moving}, without owner {unowned})  rounds {}\n\
         orders by hand under way {}  messages {}  reports {} (spoilt {})  calls {} (fate unknown {})  {told}",
        field("name"),
        field("proxies"),
        field("servers"),
        field("slices"),
        field("rounds"),
        seen.pending.len(),
        field("messages"),
        field("reports"),
        field("reports_spoilt"),
        field("calls"),
        field("calls_of_unknown_fate"),
    );
    Paragraph::new(lines)
}

/// What needs a look stands out.
fn odd(server: &Value) -> bool {
    server["suspect"] == true || server["out"] == true || server["listed"] != "ready"
}

fn servers(seen: &Seen) -> Table<'static> {
    let keys = [
        "name", "listed", "out", "weight", "suspect", "admit", "load", "slices",
    ];
    let mut all: Vec<&Value> = seen.servers.iter().collect();
    // Those that need a look come first, then those with most to do.
    let load = |of: &Value| (of["load"].as_f64().unwrap_or(0.0) * 1e6) as i64;
    all.sort_by_key(|server| (!odd(server), std::cmp::Reverse(load(server))));
    let rows = all.into_iter().map(|server| {
        let row = Row::new(keys.map(|key| Cell::from(text(server, key))));
        if odd(server) {
            row.style(Style::new().add_modifier(Modifier::BOLD))
        } else {
            row
        }
    });
    let widths = [Constraint::Min(12)]
        .into_iter()
        .chain([Constraint::Length(9); 7]);
    let heads = Row::new(keys).style(Style::new().add_modifier(Modifier::UNDERLINED));
    Table::new(rows.collect::<Vec<_>>(), widths)
        .header(heads)
        .block(Block::bordered().title("servers"))
}

/// Slices on their way, orders by hand, the last events: the newest first.
fn moves(seen: &Seen, room: usize) -> Paragraph<'static> {
    let mut lines: Vec<String> = Vec::new();
    for slice in seen
        .slices
        .iter()
        .filter(|of| of["moving"] == true || of["wished"] == true)
    {
        let reason = if slice["wished"] == true {
            ", wanted elsewhere by hand"
        } else {
            ""
        };
        lines.push(format!(
            "slice {} leaves {}{reason}",
            text(slice, "slice"),
            text(slice, "owner")
        ));
    }
    lines.extend(
        seen.pending
            .iter()
            .map(|of| format!("order {} {} {}", text(of, "id"), of["stage"], of["order"])),
    );
    lines.truncate(room / 2);
    let left = room.saturating_sub(lines.len());
    for event in seen.events.iter().rev().take(left) {
        let seconds = event["ago_ms"].as_f64().unwrap_or(0.0) / 1e3;
        lines.push(format!(
            "{seconds:>8.1} s ago  {} {}",
            text(event, "what"),
            text(event, "text")
        ));
    }
    Paragraph::new(lines.join("\n")).block(Block::bordered().title("moves, orders, events"))
}

pub(crate) fn draw(frame: &mut Frame<'_>, seen: &Seen, told: &str) {
    let most = u16::try_from(seen.servers.len())
        .unwrap_or(u16::MAX)
        .saturating_add(3);
    let half = (frame.area().height.saturating_sub(2) / 2).max(4);
    let parts = [
        Constraint::Length(2),
        Constraint::Length(most.min(half)),
        Constraint::Fill(1),
    ];
    let areas: [Rect; 3] = Layout::vertical(parts).areas(frame.area());
    frame.render_widget(head(seen, told), areas[0]);
    frame.render_widget(servers(seen), areas[1]);
    frame.render_widget(
        moves(seen, usize::from(areas[2].height.saturating_sub(2))),
        areas[2],
    );
}

fn look(args: &TopArgs) -> Result<Seen, String> {
    let patience = Duration::from_secs_f64(args.every.clamp(0.2, 5.0) * 2.0);
    let answer =
        ask(&args.place, patience, LOOK).map_err(|e| format!("the assigner said nothing: {e}"))?;
    Seen::read(&answer).map_err(|e| format!("the assigner said: {e}"))
}

/// One look as text.
fn once(args: &TopArgs) -> Result<ExitCode, CliError> {
    let seen = look(args).map_err(other)?;
    let backend = ratatui::backend::TestBackend::new(args.size.0, args.size.1);
    let mut terminal = ratatui::Terminal::new(backend).map_err(other)?;
    terminal
        .draw(|frame| draw(frame, &seen, ""))
        .map_err(other)?;
    let buffer = terminal.backend().buffer();
    for row in buffer.content().chunks(usize::from(args.size.0)) {
        let line: String = row.iter().map(ratatui::buffer::Cell::symbol).collect();
        println!("{}", line.trim_end());
    }
    Ok(ExitCode::SUCCESS)
}

fn quits(key: &event::KeyEvent) -> bool {
    let control = key.modifiers.contains(KeyModifiers::CONTROL) && key.code == KeyCode::Char('c');
    key.kind == KeyEventKind::Press
        && (control || matches!(key.code, KeyCode::Char('q') | KeyCode::Esc))
}

fn live(args: &TopArgs, terminal: &mut ratatui::DefaultTerminal) -> std::io::Result<()> {
    let every = Duration::from_secs_f64(args.every.clamp(0.2, 3600.0));
    let mut seen = Seen::default();
    loop {
        let began = Instant::now();
        // What was seen last stays while the assigner is out of reach.
        let told = match look(args) {
            Ok(now) => {
                seen = now;
                "q ends".to_owned()
            }
            Err(fail) => format!("{fail}; q ends"),
        };
        terminal.draw(|frame| draw(frame, &seen, &told))?;
        while began.elapsed() < every {
            if event::poll(every.saturating_sub(began.elapsed()))? {
                match event::read()? {
                    Event::Key(key) if quits(&key) => return Ok(()),
                    Event::Resize(..) => {
                        terminal.draw(|frame| draw(frame, &seen, &told))?;
                    }
                    _ => {}
                }
            }
        }
    }
}

pub(crate) fn run(args: &TopArgs) -> Result<ExitCode, CliError> {
    if args.once || !std::io::stdout().is_terminal() {
        return once(args);
    }
    let mut terminal = ratatui::try_init().map_err(other)?;
    let ended = live(args, &mut terminal);
    ratatui::restore();
    ended.map_err(other)?;
    Ok(ExitCode::SUCCESS)
}

#[cfg(test)]
mod tests {
    use ratatui::Terminal;
    use ratatui::backend::TestBackend;

    use super::{Seen, draw};

    fn drawn(answer: &str, width: u16, height: u16) -> String {
        let seen = Seen::read(answer).expect("a look");
        let mut terminal = Terminal::new(TestBackend::new(width, height)).expect("a terminal");
        terminal
            .draw(|frame| draw(frame, &seen, "q ends"))
            .expect("drawn");
        let cells = terminal
            .backend()
            .buffer()
            .content()
            .chunks(usize::from(width));
        cells
            .map(|row| {
                row.iter()
                    .map(ratatui::buffer::Cell::symbol)
                    .collect::<String>()
                    + "\n"
            })
            .collect()
    }

    const INFO: &str = r#"{"name":"n0","proxies":3,"servers":2,"slices":8,"rounds":7}"#;

    fn answer() -> String {
        let servers = r#"[{"name":"s-a","listed":"ready","out":false,"weight":1.0,"suspect":false,"admit":1.0,"load":2.5,"slices":4},{"name":"s-b","listed":"draining","out":false,"weight":1.0,"suspect":false,"admit":1.0,"load":0.5,"slices":4}]"#;
        let slices = r#"[{"slice":0,"owner":"s-b","moving":true,"wished":false},{"slice":1,"owner":null,"moving":false,"wished":false}]"#;
        let pending =
            r#"[{"id":"d","stage":"begun","order":{"server":{"server":"s-b","want":"drain"}}}]"#;
        let events = r#"[{"event":1,"ago_ms":2500,"what":"watch","text":"begun"}]"#;
        format!("{INFO}\n{servers}\n{slices}\n{pending}\n{events}\n")
    }

    #[test]
    fn what_needs_a_look_comes_first_and_all_has_its_place() {
        let text = drawn(&answer(), 100, 20);
        for part in [
            "n0  proxies 3",
            "moving 1, without owner 1",
            "slice 0 leaves s-b",
            "order d",
            "2.5 s ago  watch begun",
        ] {
            assert!(text.contains(part), "{part}:\n{text}");
        }
        let at = |name: &str| {
            text.lines()
                .position(|line| line.contains(name) && line.contains("1.00"))
        };
        assert!(at("s-b") < at("s-a"), "{text}");
    }

    #[test]
    fn a_small_terminal_is_drawn_as_far_as_it_goes() {
        for (width, height) in [(1, 1), (20, 8), (400, 100)] {
            drawn(&answer(), width, height);
        }
    }

    #[test]
    fn what_is_no_look_is_told_by_its_first_line() {
        assert_eq!(
            Seen::read("refused: too many sessions\nmore\n")
                .err()
                .as_deref(),
            Some("refused: too many sessions")
        );
        assert!(Seen::read(INFO).is_err() && Seen::read("").is_err());
    }
}
