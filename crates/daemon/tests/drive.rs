//! The program in drive mode: a day played over loopback and in memory must be the same to the last digit.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

use lynxmill_replay::{GeneratedDay, Loopback, Memory, Play, Report, TROUBLES, make, play};
use rstest::rstest;
use serde_json::json;

struct Driven {
    child: Child,
    config: PathBuf,
    at: SocketAddr,
}

fn command(drive: &str) -> (Command, PathBuf) {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("lynxmilld-drive-{}-{count}.json", std::process::id());
    let config = std::env::temp_dir().join(name);
    std::fs::write(&config, json!({"drive": drive}).to_string()).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_lynxmilld"));
    command.env_remove("RUST_LOG").env("PROXY_CONFIG", &config);
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    (command, config)
}

impl Driven {
    fn start() -> Self {
        let (mut command, config) = command("127.0.0.1:0");
        let mut child = command.spawn().expect("the program");
        let mut line = String::new();
        BufReader::new(child.stderr.take().expect("its log"))
            .read_line(&mut line)
            .expect("a line");
        let at = line
            .trim()
            .rsplit(' ')
            .next()
            .and_then(|at| at.parse().ok());
        Driven {
            child,
            config,
            at: at.expect("its address"),
        }
    }

    fn plays(&self, made: &GeneratedDay) -> Report {
        plays(made, || Loopback::new(self.at).expect("a loopback address"))
    }

    fn says(&self, lines: &[&str]) -> String {
        let mut stream = TcpStream::connect(self.at).expect("a connection");
        for line in lines {
            stream
                .write_all(format!("{line}\n").as_bytes())
                .expect("room to write");
        }
        let mut answer = String::new();
        BufReader::new(stream)
            .read_line(&mut answer)
            .expect("an answer");
        answer
    }
}

impl Drop for Driven {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

fn plays<D: lynxmill_replay::Driver>(made: &GeneratedDay, driver: impl Fn() -> D) -> Report {
    let day = make(made).expect("a day");
    let configuration = serde_json::from_str(&day.head.configuration).expect("JSON");
    play(&day, &configuration, &Play::default(), driver())
        .expect("a play")
        .report
}

fn rough() -> GeneratedDay {
    let troubles = TROUBLES.iter().map(|&trouble| trouble.to_owned()).collect();
    GeneratedDay {
        seconds: 80.0,
        load: 0.7,
        troubles,
        ..GeneratedDay::default()
    }
}

#[test]
fn a_day_over_loopback_is_the_same_as_in_memory_to_the_last_digit() {
    let driven = Driven::start();
    let memory = plays(&rough(), Memory::default);
    let (first, second) = (driven.plays(&rough()), driven.plays(&rough()));
    assert_eq!(first.json(), second.json());
    assert_eq!(first.json(), memory.json());
    assert!(
        memory.moves > 10 && memory.service.is_some(),
        "{}",
        memory.json()
    );
}

#[rstest]
#[case::no_json("x")]
#[case::no_start("{\"at\":1,\"wake\":true}")]
#[case::other_key("{\"at\":1,\"walk\":true}")]
#[case::bad_configuration("{\"at\":1,\"start\":{\"name\":\"n0\"}}")]
fn a_step_that_can_not_be_taken_is_answered_with_why(#[case] line: &str) {
    let answer = Driven::start().says(&[line]);
    assert!(answer.starts_with("{\"fault\":"), "{answer}");
}

#[rstest]
#[case::any("0.0.0.0:0")]
#[case::outside("10.1.2.3:4000")]
#[case::none("nowhere")]
fn only_a_loopback_address_is_driven_at(#[case] drive: &str) {
    let (mut command, config) = command(drive);
    let out = command.output().expect("the program");
    std::fs::remove_file(config).expect("a file");
    assert!(!out.status.success());
    assert!(String::from_utf8_lossy(&out.stderr).contains("`drive`"));
}

#[test]
fn the_replay_connects_to_no_other_address_either() {
    assert!(Loopback::new("10.1.2.3:4000".parse().expect("an address")).is_err());
}
