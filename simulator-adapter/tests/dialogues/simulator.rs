//! The simulator's end of a dialogue: two gateways, a few hosts, and drawn requests, faults and lists.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::rc::Rc;

/// The dialogues that are stored whole are short ones.
const SHORT_ROUND_COUNT: usize = 100;
const ROUND_COUNT: usize = 420;
const STATES: [&str; 8] = [
    "served",
    "server_error",
    "turned_away",
    "no_answer",
    "no_connection",
    "connection_lost",
    "called_off",
    "not_sent",
];

/// What was said in both directions.
pub struct Dialogue {
    pub input: String,
    pub output: String,
}

/// Plays a dialogue to its end.
pub fn dialogue(number: u64) -> Dialogue {
    let simulator = Rc::new(RefCell::new(Simulator::new(number)));
    let input = BufReader::new(Said { simulator: simulator.clone(), ready: Vec::new() });
    ternstack_simulator_adapter::run(input, Heard { simulator: simulator.clone() })
        .expect("a legal dialogue");
    let simulator = simulator.borrow();
    Dialogue { input: simulator.said.clone(), output: simulator.heard.clone() }
}

/// The adapter's input: the next round is said once the reply to the last one has been heard.
struct Said {
    simulator: Rc<RefCell<Simulator>>,
    ready: Vec<u8>,
}

impl Read for Said {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.ready.is_empty() {
            self.ready = self.simulator.borrow_mut().next_round().into_bytes();
        }
        let count = self.ready.len().min(buffer.len());
        buffer[..count].copy_from_slice(&self.ready[..count]);
        self.ready.drain(..count);
        Ok(count)
    }
}

/// The adapter's output.
struct Heard {
    simulator: Rc<RefCell<Simulator>>,
}

impl Write for Heard {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.simulator.borrow_mut().hear(std::str::from_utf8(bytes).expect("UTF-8"));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A line of a reply; the words of a log line may change, that there is one may not.
pub fn comparable(line: &str) -> String {
    let spoken = line.strip_prefix("PRINT words=").is_some_and(|words| !words.is_empty());
    if spoken {
        "PRINT words=*".into()
    } else {
        line.into()
    }
}

struct Simulator {
    state: u64,
    now_ms: f64,
    round: usize,
    round_count: usize,
    said: String,
    heard: String,
    /// Lines to say, by time and order, each with its gateway.
    due: BTreeMap<(u64, u64), (usize, String)>,
    next_due: u64,
    next_request: u64,
    /// Attempts sent of each request.
    attempts: BTreeMap<String, u32>,
    conf: String,
    host_count: usize,
    load: f64,
    fault_rate: f64,
    reports: &'static str,
}

impl Simulator {
    fn new(number: u64) -> Self {
        let mut simulator = Simulator {
            state: number.wrapping_mul(0x9e37_79b9) + 5,
            now_ms: 0.0,
            round: 0,
            round_count: if number < 2 { SHORT_ROUND_COUNT } else { ROUND_COUNT },
            said: String::new(),
            heard: String::new(),
            due: BTreeMap::new(),
            next_due: 0,
            next_request: 0,
            attempts: BTreeMap::new(),
            conf: String::new(),
            host_count: 3 + number as usize % 5,
            load: [0.5, 3.0, 1.0, 6.0][number as usize % 4],
            fault_rate: [0.1, 0.5, 0.02][number as usize % 3],
            reports: ["inline", "on_probe", "off"][number as usize % 3],
        };
        simulator.conf = simulator.draw_conf(number);
        simulator
    }

    fn bits(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        (self.bits() % count as u64) as usize
    }

    fn draw_conf(&mut self, number: u64) -> String {
        let (discovery, cancel) = (["push", "ask"][number as usize % 2], number % 3 != 2);
        let advice = number % 5 != 4;
        format!(
            concat!(
                r#"{{"classes":[{{"name":"read","effect":"safe","aim_ms":200.0,"deadline_ms":600.0}},"#,
                r#"{{"name":"book","effect":"keyed","group":"all","window_ms":300,"aim_ms":150,"deadline_ms":500}},"#,
                r#"{{"name":"pay","effect":"unsafe","deadline_ms":400,"late_value":0.2}}],"instances":2,"#,
                r#""zone":"east","zones":["east","west"],"tenants":[{{"name":"acme","quota_per_s":5.0}}],"#,
                r#""report":{{"how":"{}"}},"discovery":"{}","limits":{{"max_attempts":3,"cancel":{},"#,
                r#""may_probe":true,"retry_after":{},"max_retry_after_ms":800}},"weights":"{}"}}"#
            ),
            self.reports,
            discovery,
            cancel,
            advice,
            ["off", "live"][number as usize / 2 % 2]
        )
    }

    fn schedule(&mut self, after_ms: f64, gateway: usize, line: String) {
        let at = (self.now_ms + after_ms).to_bits();
        self.due.insert((at, self.next_due), (gateway, line));
        self.next_due += 1;
    }

    fn next_round(&mut self) -> String {
        if self.round == self.round_count {
            return String::new();
        }
        let mut text = String::new();
        self.now_ms += 5.0 + (self.unit() * 80.0).floor() / 4.0;
        text.push_str(&format!("ROUND sim_time_ms={}\n", self.now_ms));
        for gateway in 0..2 {
            if self.round == 0 || (self.round == 90 && gateway == 1) {
                let retired = if self.round == 0 { "" } else { "RETIRE\n" };
                let list = self.list("warm_copy");
                let seed = self.below(1000);
                let conf = &self.conf;
                let begin =
                    format!("TO i=gateway-{gateway}\n{retired}INIT prng={seed} part=x conf={conf}\n{list}");
                text.push_str(&begin);
            }
            let arrivals = self.below(1 + (2.0 * self.load) as usize);
            for _ in 0..arrivals {
                self.arrive(gateway);
            }
            if self.unit() < 0.06 {
                let mode = ["incr", "total", "lost"][self.below(3)];
                let list = self.list(mode);
                self.schedule(0.0, gateway, list);
            }
        }
        let now = self.now_ms.to_bits();
        let later = self.due.split_off(&(now + 1, 0));
        let mut current = usize::MAX;
        for (gateway, line) in std::mem::replace(&mut self.due, later).into_values() {
            if current != gateway {
                text.push_str(&format!("TO i=gateway-{gateway}\n"));
                current = gateway;
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text.push_str(if self.round % 7 == 3 { "OMEN of=change\n\nFLUSH\n" } else { "FLUSH\n" });
        self.round += 1;
        self.said.push_str(&text);
        text
    }

    fn list(&mut self, mode: &str) -> String {
        if mode == "lost" {
            return "TOPOLOGY serial=3 mode=lost\n".into();
        }
        let count = if mode == "incr" { 1 + self.below(2) } else { self.host_count };
        let mut text = format!("TOPOLOGY serial=2 mode={mode} hosts={count}\n");
        for place in 0..count {
            let host = if mode == "incr" { self.below(self.host_count + 1) } else { place };
            let readiness = ["active", "active", "active", "active", "leaving", "left"][self.below(6)];
            let area = ["east", "west", "far"][host % 3];
            text.push_str(&format!("M host=10.0.0.{host}:80 area={area} readiness={readiness}"));
            if self.unit() < 0.8 {
                text.push_str(&format!(" bay={} heft={:.2}", host / 2, 0.2 + self.unit()));
            }
            if self.unit() < 0.2 {
                text.push_str(&format!(" last_start_ms={:.1}", self.now_ms * self.unit()));
            }
            text.push('\n');
        }
        text
    }

    fn arrive(&mut self, gateway: usize) {
        let id = format!("r-{}", self.next_request);
        self.next_request += 1;
        let class = ["read", "read", "book", "pay"][self.below(4)];
        let project = ["project=acme ", "project=other ", ""][self.below(3)];
        let patience = [300.0, 300.0, 300.0, 77.125][self.below(4)];
        self.schedule(
            0.0,
            gateway,
            format!("ACCEPT id={id} cls={class} {project}patience_left_ms={patience}"),
        );
        if self.unit() < 0.15 {
            self.schedule(self.load * 40.0, gateway, format!("CANCELLED_BY_CLIENT id={id}"));
        }
    }

    /// Carries out what a gateway asked for.
    fn hear(&mut self, text: &str) {
        let mut gateway = 0;
        for line in text.lines() {
            let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
            self.heard.push_str(&comparable(line));
            self.heard.push('\n');
            let field = |name: &str| {
                let parts = rest.split(' ').filter_map(|part| part.split_once('='));
                parts.filter(|part| part.0 == name).map(|part| part.1.to_string()).next().unwrap_or_default()
            };
            match word {
                "FOR" => gateway = usize::from(field("i") == "gateway-1"),
                "RELAY" => self.relay(gateway, &field("id"), &field("host")),
                "REVOKE" => {
                    let (id, attempt) = (field("id"), field("try"));
                    let end = format!(
                        "ATTEMPT_END id={id} try={attempt} host=10.0.0.0:80 state_code=called_off \
                         latency_ms=9 complete=1"
                    );
                    self.schedule(1.0, gateway, end);
                }
                "SET_TIMER" => {
                    let after_ms = field("time_ms").parse::<f64>().expect("a time") - self.now_ms;
                    self.schedule(after_ms.max(0.0), gateway, format!("BELL ref={}", field("ref")));
                }
                "HEALTH_CHECK" => {
                    let (telemetry, host) = (self.telemetry(), field("host"));
                    let result = format!("HEALTH_RESULT host={host} state_code=served{telemetry}");
                    self.schedule(8.0, gateway, result);
                }
                "TAIL" => {
                    let mode = ["total", "lost"][self.below(2)];
                    let list = self.list(mode);
                    self.schedule(30.0, gateway, list);
                }
                _ => {}
            }
        }
    }

    fn relay(&mut self, gateway: usize, id: &str, host: &str) {
        let attempt = self.attempts.entry(id.to_string()).or_default();
        let number = *attempt;
        *attempt += 1;
        let faulty = self.unit() < self.fault_rate;
        let state = if faulty { STATES[1 + self.below(7)] } else { "served" };
        let latency_ms = 20.0 + self.unit() * 200.0;
        let complete = u8::from(state == "served");
        let telemetry = if self.reports == "inline" { self.telemetry() } else { " telemetry=-".into() };
        if state == "served" && self.unit() < 0.2 {
            self.schedule(latency_ms / 2.0, gateway, format!("BEGUN id={id}"));
        }
        let end = format!(
            "ATTEMPT_END id={id} try={number} host={host} state_code={state} latency_ms={latency_ms:.2} \
             complete={complete}{telemetry}"
        );
        self.schedule(latency_ms, gateway, end);
    }

    fn telemetry(&mut self) -> String {
        let (utilization, throughput) = (self.unit(), self.unit() * 60.0);
        match self.below(4) {
            0 => String::new(),
            1 => format!(" telemetry=utilization:{utilization:.3},unheard:1,throughput:{throughput:.2}"),
            2 => format!(" telemetry=backlog:{},utilization:{utilization:.3}", self.below(9)),
            _ => format!(
                " telemetry=utilization:{utilization:.3},throughput:{throughput:.2},backlog:{}",
                self.below(9)
            ),
        }
    }
}
