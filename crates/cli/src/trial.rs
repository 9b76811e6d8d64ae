//! `lynxmill try`: a whole deployment on loopback in one line, its service by second, and whether the rules hold.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, ValueEnum};
use lynxmill_fake_servers::rules::BrokenRule;
use lynxmill_test_bed::{Fault, FaultSchedule, Load, Tally, TestBed, TestBedOptions as Wanted};
use serde_json::{Value, json};

use crate::end::{CliError, RULE_BROKEN, other};

#[derive(Clone, Copy, ValueEnum)]
enum Protocol {
    Etcd,
    Consul,
}

#[derive(Args)]
pub(crate) struct TrialArgs {
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=9))]
    assigners: u16,
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=64))]
    forwarders: u16,
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    servers: u16,
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u16).range(1..=4096))]
    slices: u16,
    /// The registry that is stood in for.
    #[arg(long, value_enum, default_value = "etcd")]
    protocol: Protocol,
    /// Invocations a second; nearly a third are writes.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// What is to go wrong, by name, several with commas; `all` for everything.
    #[arg(long, value_delimiter = ',')]
    trouble: Vec<String>,
    /// Seconds between the beginnings of two troubles.
    #[arg(long, default_value_t = 3.0)]
    every: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Writes what came of it there as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

fn kinds(names: &[String]) -> Result<Vec<Fault>, CliError> {
    if names.iter().any(|name| name == "all") {
        return Ok(Fault::ALL.iter().map(|(_, kind)| *kind).collect());
    }
    let known = || Fault::ALL.map(|(name, _)| name).join(", ");
    let one = |name: &String| {
        Fault::named(name)
            .ok_or_else(|| CliError::BadSetting(format!("no trouble {name:?}: {}, all", known())))
    };
    names.iter().map(one).collect()
}

fn word(kind: Fault) -> &'static str {
    Fault::ALL
        .iter()
        .find(|(_, of)| *of == kind)
        .map_or("", |(name, _)| name)
}

/// The second that is over: what came in it and how many were answered in time so far.
fn second(
    rig: &TestBed,
    tally: &Tally,
    at: usize,
    began: &[(Duration, Fault)],
    moved: usize,
    broken: usize,
) -> String {
    let (asked, served) = tally.seconds.get(at).copied().unwrap_or_default();
    let bar = "#".repeat((served * 20).checked_div(asked).unwrap_or(0) as usize);
    let bare = rig
        .owners()
        .values()
        .filter(|owner| owner.is_none())
        .count();
    let troubles: Vec<&str> = began
        .iter()
        .filter(|(since, _)| since.as_secs() as usize == at)
        .map(|(_, kind)| word(*kind))
        .collect();
    let rules = if broken == 0 {
        "rules hold".to_owned()
    } else {
        format!("{broken} BREACHES")
    };
    format!(
        "{at:>4} s  {served:>5} of {asked:>5} in time {bar:<20}  shut {bare:>3}  moved {moved:>3}  {rules}  {}",
        troubles.join(" ")
    )
}

fn report(tally: &Tally, broken: &[BrokenRule]) -> Value {
    let by: Vec<Value> = tally
        .by
        .iter()
        .map(|((operation, how), n)| json!({"operation": operation, "how": how, "count": n}))
        .collect();
    let ms = |part: f64| tally.took.value_at_quantile(part) as f64 / 1e3;
    let breaches: Vec<Value> = broken
        .iter()
        .map(|b| json!({"rule": b.rule, "at_s": b.at.as_secs_f64(), "what": b.what}))
        .collect();
    json!({"service": tally.service(), "asked": tally.asked, "by": by, "reasons": tally.reasons,
        "ms_50": ms(0.5), "ms_99": ms(0.99), "ms_999": ms(0.999), "breaches": breaches})
}

async fn play(args: &TrialArgs, wanted: Wanted, kinds: &[Fault]) -> Result<ExitCode, CliError> {
    let mut rig = TestBed::start(wanted).map_err(other)?;
    let load = Load::new(rig.ports(), args.seed);
    println!(
        "{} assigners, {} forwarders, {} servers, {} slices; a client can ask too: curl -X POST http://{}/lookup/soup",
        args.assigners,
        args.forwarders,
        args.servers,
        args.slices,
        rig.ports()[0]
    );
    let mut troubles = FaultSchedule::new(
        kinds,
        Duration::from_secs_f64(args.every.max(0.1)),
        args.seed,
    );
    let lasts = Duration::from_secs_f64(args.seconds);
    let coming = {
        let (load, rate) = (load.clone(), args.rate);
        actix_rt::spawn(async move { load.run(rate, lasts).await })
    };
    let (begun, mut shown, mut owners, mut moved) = (rig.now(), 0, rig.owners(), 0);
    while !coming.is_finished() || !troubles.over() {
        actix_rt::time::sleep(Duration::from_millis(25)).await;
        let since = rig.now() - begun;
        troubles
            .step(&mut rig, since, kinds.is_empty() || since >= lasts)
            .map_err(other)?;
        rig.look();
        let now = rig.owners();
        moved += now
            .iter()
            .filter(|(slice, owner)| owner.is_some() && owners[*slice] != **owner)
            .count();
        owners.extend(now.into_iter().filter(|(_, owner)| owner.is_some()));
        // A second is told half a second later, when most of what came in it has ended.
        while since >= Duration::from_millis(1500 + 1000 * shown as u64)
            && shown < lasts.as_secs() as usize
        {
            println!(
                "{}",
                second(
                    &rig,
                    &load.tally.borrow(),
                    shown,
                    &troubles.begun,
                    moved,
                    rig.broken().len()
                )
            );
            shown += 1;
        }
    }
    while shown < lasts.as_secs() as usize {
        println!(
            "{}",
            second(
                &rig,
                &load.tally.borrow(),
                shown,
                &troubles.begun,
                moved,
                rig.broken().len()
            )
        );
        shown += 1;
    }
    let (tally, broken) = (load.tally.borrow(), rig.broken());
    let told = report(&tally, &broken);
    println!(
        "service {:.3} of {} first tries; 50% within {:.1} ms, 99% within {:.1} ms",
        tally.service(),
        tally.asked,
        told["ms_50"].as_f64().unwrap_or(0.0),
        told["ms_99"].as_f64().unwrap_or(0.0)
    );
    tally
        .by
        .iter()
        .for_each(|((operation, how), count)| println!("  {operation:<8} {how:<10} {count:>7}"));
    tally
        .reasons
        .iter()
        .for_each(|(reason, count)| println!("  told {reason:<20} {count:>7}"));
    if let Some(path) = &args.json {
        std::fs::write(path, format!("{told:#}\n"))
            .map_err(|e| other(format!("{}: {e}", path.display())))?;
    }
    for broken in &broken {
        println!(
            "rule {} broken at {:.2} s: {}",
            broken.rule,
            broken.at.as_secs_f64(),
            broken.what
        );
    }
    if broken.is_empty() {
        println!("all five rules held");
    }
    Ok(if broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(RULE_BROKEN)
    })
}

pub(crate) fn run(args: &TrialArgs) -> Result<ExitCode, CliError> {
    let kinds = kinds(&args.trouble)?;
    let bounded = |what: &str, number: f64, most: f64| {
        let right = number > 0.0 && number <= most;
        if right {
            Ok(())
        } else {
            Err(CliError::BadSetting(format!(
                "--{what} is over 0 and up to {most}"
            )))
        }
    };
    bounded("rate", args.rate, 5000.0)?;
    bounded("seconds", args.seconds, 3600.0)?;
    bounded("every", args.every, 3600.0)?;
    let wanted = Wanted {
        assigners: args.assigners.into(),
        forwarders: args.forwarders.into(),
        servers: args.servers.into(),
        slices: args.slices.into(),
        protocol: match args.protocol {
            Protocol::Etcd => "etcd",
            Protocol::Consul => "consul",
        },
        seed: args.seed,
        ..Wanted::default()
    };
    if std::io::stderr().is_terminal() {
        eprintln!("starting, a moment ...");
    }
    actix_rt::System::new().block_on(play(args, wanted, &kinds))
}
