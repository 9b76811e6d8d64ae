use lynxmill_simulator::*;
fn main() {
    if std::env::args().nth(1).as_deref() == Some("backlog") {
        let n: Vec<f64> = std::env::args().skip(2).filter_map(|a| a.parse().ok()).collect();
        let b = Backlog {
            routes: n[0] as usize,
            changes: n[1] as usize,
            per_call: n[2] as usize,
            megabits_per_s: n[3],
        };
        println!("{:?}", backlog(1, &b));
        return;
    }
    let a: Vec<String> = std::env::args().collect();
    let first: u64 = a[1].parse().unwrap();
    let seeds: u64 = a[2].parse().unwrap();
    let kinds: Vec<FaultKind> = a.iter().skip(3).filter_map(|k| k.parse().ok()).collect();
    let options =
        RunOptions { sabotage: a.iter().skip(3).find_map(|k| k.parse().ok()), ..Default::default() };
    if a.iter().any(|a| a == "replay") {
        let mut plan = Plan::drawn(first, &kinds);
        if a.iter().any(|a| a == "shrink") {
            plan = shrink(&plan, &options);
        }
        println!("{plan}");
        let r = run(&plan, &RunOptions { trace: true, ..options });
        for l in &r.trace {
            println!("{l}");
        }
        println!("{:?}", r.violation.map(|(at, v)| (at.secs(), v.to_string())));
        return;
    }
    let e = Exploration { first, seeds, jobs: 4, kinds, options: options.clone(), most_found: 10 };
    let (found, p) = explore(&e, |p| {
        eprintln!(
            "{} seeds, {:.0}/s, {:.0} h/h, found {}",
            p.seeds,
            p.seeds_per_s(),
            p.hours_per_hour(),
            p.found
        )
    });
    println!("{p:?} {:.1}/s {:.0} h/h", p.seeds_per_s(), p.hours_per_hour());
    for f in &found {
        println!("seed {} at {:.3}: {}", f.plan.seed, f.at.secs(), f.violation);
    }
    let mut kinds_seen = Vec::new();
    for f in &found {
        if kinds_seen.contains(&f.violation.kind()) {
            continue;
        }
        kinds_seen.push(f.violation.kind());
        let plan = shrink(&f.plan, &options);
        let r = run(&plan, &options);
        println!("shrunk {plan}  -> {:?}", r.violation.map(|(at, v)| (at.secs(), v.to_string())));
    }
}
