//! A fleet of any size in front of one reducer out of five, for benches and for counting work: a server for
//! every twelve proxies, four slices for every ten, a fifth of them this assigner's.

use lynxmill_assigner::Standing;
use lynxmill_assigner_state::{
    Asked, Effect, Endpoint, Epoch, Event, Members, Message, Met, News, Outcome, State, Status,
    decode,
};
use lynxmill_time::{TimeDelta, Timestamp};
use serde_json::{Value, json};

/// What a fleet goes through.
pub(crate) type Load = fn(&mut Fleet);

pub(crate) struct Fleet {
    state: State,
    pub now: Timestamp,
    pub proxies: u16,
    servers: usize,
    slices: usize,
    begun: usize,
    index: u64,
    mark: u16,
    /// Bytes of all calls.
    pub written: usize,
}

fn settings(proxies: u16, slices: usize) -> Value {
    let pace = f64::from(proxies) * 150.0;
    json!({
        "balancers": 5, "position": 0,
        "classes": [
            {"name": "lookup", "credit": 1.0, "slo": 1.0, "deadline": 2.5, "effect": "safe"},
            {"name": "vote", "credit": 5.0, "slo": 0.4, "deadline": 0.6, "effect": "unsafe"}],
        "failure_domains": ["a", "b", "c"],
        "feedback": {"fields": ["outstanding"], "source": "answers"},
        "policy_limits": {"probes": false},
        "registry_mode": "pushed",
        "rules": {"ask_within": 10.0, "cold_from": 0.15, "stop_sending_within": 3.6, "tip_multiple": 2.5,
            "warm_after": 17.0},
        "specifics": {"bare": 25.0, "interval": 0.5, "lease": 4.0, "lines_per_s": pace,
            "most_waiting": pace * 1.5, "overhead": 16, "propagation": 0.24, "proxy_count": proxies,
            "push_delay_max": 0.6, "pushes_allowed": 12, "reload_span": 10.0, "retry_default": 0,
            "settle": 0.62, "shards": slices, "throttle_by": "share"},
        "step": 0.001
    })
}

impl Fleet {
    /// All proxies have joined, all slices are given and published.
    pub(crate) fn new(proxies: u16) -> Self {
        let (servers, slices) = (usize::from(proxies) / 12, usize::from(proxies) * 4 / 10);
        let told = json!({
            "name": "n0", "listen": "127.0.0.1:8000", "discovery": "127.0.0.1:8500", "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "registry": {"address": "127.0.0.1:6400"}, "known": null,
            "settings": settings(proxies, slices)
        });
        let now = Timestamp::from_secs(0.0);
        let start = decode(&told, |_| None).expect("a sound configuration");
        let state = State::new(Epoch { unix_ms: 1e12 }, now, start);
        let mut fleet = Fleet {
            state,
            now,
            proxies,
            servers,
            slices,
            begun: 0,
            index: 0,
            mark: 0,
            written: 0,
        };
        fleet.tell(Event::Begin);
        fleet.tell(Event::WatchBegun);
        fleet.list(servers, 0);
        let joined = (0..proxies).map(|proxy| News::Attach { proxy });
        let given = (0..slices).step_by(5).flat_map(|slice| {
            let server = name(slice % servers);
            [
                News::Owner { slice, on: true },
                News::Entry { slice, server },
            ]
        });
        let news = joined.chain(given).chain([News::Alive]).collect();
        fleet.tell(Event::News(news));
        fleet.pass(1.0);
        fleet.answers();
        fleet
    }

    fn tell(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.state.reduce(self.now, event, &mut effects);
        for effect in effects {
            if let Effect::Call(body) = effect {
                self.written += body.len();
                let orders = body.matches("\"op\"").count();
                if let Some((_, rest)) = body.rsplit_once("\"nonce_out\":") {
                    let digits = rest.chars().take_while(char::is_ascii_digit);
                    self.mark = digits.collect::<String>().parse().unwrap_or(0);
                }
                self.tell(Event::Called(Outcome::Taken(orders)));
            }
        }
    }

    /// For the tests that look at what is held; benches only time.
    #[allow(dead_code)]
    pub(crate) fn status(&self) -> Status {
        self.state.status()
    }

    /// Time passes, and what was due is done.
    pub(crate) fn pass(&mut self, seconds: f64) {
        self.now = self.now + TimeDelta::from_secs(seconds);
        self.tell(Event::Wake);
    }

    /// The next so many servers start, the oldest so many drain.
    fn list(&mut self, starting: usize, draining: usize) {
        let endpoint = |k: usize, standing, since_ms| Endpoint {
            name: name(k),
            standing,
            weight: Some(1.0),
            since_ms,
        };
        let since_ms = if self.begun == 0 {
            0.0
        } else {
            1e12 + self.now.secs() * 1e3
        };
        let fresh =
            (self.begun..self.begun + starting).map(|k| endpoint(k, Standing::Ready, since_ms));
        let old = self.begun.saturating_sub(self.servers);
        let leaving = (old..old + draining).map(|k| endpoint(k, Standing::Draining, 0.0));
        let gone = (old.saturating_sub(draining)..old).map(|k| endpoint(k, Standing::Gone, 0.0));
        let endpoints: Vec<Endpoint> = fresh.chain(leaving).chain(gone).collect();
        self.begun += starting;
        self.index += 1;
        self.tell(Event::Listed(Members {
            index: self.index,
            snapshot: self.index == 1,
            endpoints,
        }));
    }

    /// All proxies answer the last mark.
    pub(crate) fn answers(&mut self) {
        let mark = self.mark;
        for proxy in 0..self.proxies {
            self.tell(Event::News(vec![News::Done {
                proxy,
                mark,
                took_ms: 250.0,
            }]));
        }
        self.pass(0.01);
    }

    /// A second of reports, as many as are taken in at any size.
    pub(crate) fn reports(&mut self) {
        for k in 0..120usize {
            let at = (self.now.micros() as usize / 1000 + k * 7) % self.slices / 5 * 5;
            let message = if k % 3 == 0 {
                Message::Met(Met {
                    zone: ["a", "b", "c"][k / 3 % 3].to_owned(),
                    server: name(at % self.servers),
                    tries: 12.0,
                    failed: 0.0,
                    mean_ms: 140.0,
                    span_ms: 5000.0,
                    load: vec![("outstanding".to_owned(), 2.0)],
                })
            } else {
                let operation = ["lookup", "vote"][k % 2].to_owned();
                Message::Asked(Asked {
                    slice: at,
                    operation,
                    tries: 9.0,
                    span_ms: 5000.0,
                })
            };
            self.tell(Event::Said(1, message));
        }
        self.pass(1.0);
    }

    /// A quarter of the proxies part and come again.
    pub(crate) fn burst(&mut self) {
        for proxy in (0..self.proxies).step_by(4) {
            self.tell(Event::News(vec![News::Detach { proxy }]));
        }
        self.pass(0.5);
        for proxy in (0..self.proxies).step_by(4) {
            self.tell(Event::News(vec![News::Attach { proxy }]));
        }
        self.pass(0.5);
    }

    /// A quarter of the servers is replaced: their slices are shut, fenced and published elsewhere.
    pub(crate) fn release(&mut self) {
        self.list(self.servers / 4, self.servers / 4);
        self.pass(1.0);
        self.answers();
        self.pass(1.0);
        self.answers();
    }
}

fn name(server: usize) -> String {
    format!("s-{server:06x}")
}
