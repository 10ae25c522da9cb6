//! Simulates the other end of a dialogue: two gateways, a few endpoints, and random requests, failures and
//! endpoint updates.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::rc::Rc;

/// Rounds of the dialogues that are recorded in full.
const FULL_DIALOGUE_ROUNDS: usize = 100;
/// Rounds of the dialogues that are recorded as digests.
const DIALOGUE_ROUNDS: usize = 420;
/// The outcomes of an attempt; all but the first are failures.
const OUTCOMES: [&str; 8] = [
    "served",
    "server_error",
    "turned_away",
    "no_answer",
    "no_connection",
    "connection_lost",
    "called_off",
    "not_sent",
];

/// The lines of a dialogue in both directions.
pub struct Dialogue {
    pub input: String,
    pub output: String,
}

/// Runs dialogue `number` to its end. The number seeds the simulator and selects its parameters.
pub fn run_dialogue(number: u64) -> Dialogue {
    let simulator = Rc::new(RefCell::new(Simulator::new(number)));
    let input = BufReader::new(AdapterInput { simulator: simulator.clone(), unread: Vec::new() });
    ternstack_simulator_adapter::run(input, AdapterOutput { simulator: simulator.clone() })
        .expect("the lines of the dialogue are valid");
    let simulator = simulator.borrow();
    Dialogue { input: simulator.input.clone(), output: simulator.output.clone() }
}

/// The adapter's input. The lines of a round are generated when the adapter reads them, after the reply to
/// the previous round.
struct AdapterInput {
    simulator: Rc<RefCell<Simulator>>,
    /// Bytes of the current round that the adapter has not read yet.
    unread: Vec<u8>,
}

impl Read for AdapterInput {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.unread.is_empty() {
            self.unread = self.simulator.borrow_mut().next_round().into_bytes();
        }
        let count = self.unread.len().min(buffer.len());
        buffer[..count].copy_from_slice(&self.unread[..count]);
        self.unread.drain(..count);
        Ok(count)
    }
}

/// The adapter's output. Every write is passed to the simulator, as one write holds a whole reply.
struct AdapterOutput {
    simulator: Rc<RefCell<Simulator>>,
}

impl Write for AdapterOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.simulator
            .borrow_mut()
            .handle_reply(std::str::from_utf8(bytes).expect("the reply is valid UTF-8"));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns a line of a reply with the text of a log line replaced by `*`, because the text of log lines may
/// change but not their presence.
pub fn mask_log_text(line: &str) -> String {
    let is_log_line = line.strip_prefix("PRINT words=").is_some_and(|text| !text.is_empty());
    if is_log_line {
        "PRINT words=*".into()
    } else {
        line.into()
    }
}

struct Simulator {
    rng_state: u64,
    /// Simulated time in ms.
    now_ms: f64,
    /// Number of rounds so far.
    round: usize,
    round_count: usize,
    input: String,
    output: String,
    /// Lines to send, each with its gateway, by time and order of scheduling. The time is in ms as the bits
    /// of an `f64`, which sort like the times because no time is negative.
    scheduled: BTreeMap<(u64, u64), (usize, String)>,
    /// Order of the next line to schedule.
    next_order: u64,
    next_request: u64,
    /// Number of attempts sent, by request id.
    attempts: BTreeMap<String, u32>,
    /// The settings of both gateways as JSON.
    settings: String,
    host_count: usize,
    /// Mean number of requests per round and gateway. Also scales the delay of client disconnections.
    load: f64,
    /// Fraction of attempts that fail, from 0 to 1.
    failure_rate: f64,
    /// Value of the key `report.how` in the settings.
    load_report_delivery: &'static str,
}

impl Simulator {
    fn new(number: u64) -> Self {
        let mut simulator = Simulator {
            rng_state: number.wrapping_mul(0x9e37_79b9) + 5,
            now_ms: 0.0,
            round: 0,
            round_count: if number < 2 { FULL_DIALOGUE_ROUNDS } else { DIALOGUE_ROUNDS },
            input: String::new(),
            output: String::new(),
            scheduled: BTreeMap::new(),
            next_order: 0,
            next_request: 0,
            attempts: BTreeMap::new(),
            settings: String::new(),
            host_count: 3 + number as usize % 5,
            load: [0.5, 3.0, 1.0, 6.0][number as usize % 4],
            failure_rate: [0.1, 0.5, 0.02][number as usize % 3],
            load_report_delivery: ["inline", "on_probe", "off"][number as usize % 3],
        };
        simulator.settings = simulator.settings_json(number);
        simulator
    }

    /// Returns the next number of a SplitMix64 generator.
    fn next_u64(&mut self) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.rng_state ^ (self.rng_state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a random number from 0 to 1, 1 excluded.
    fn random_fraction(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a random number from 0 to `limit`, `limit` excluded.
    fn random_below(&mut self, limit: usize) -> usize {
        (self.next_u64() % limit as u64) as usize
    }

    /// Returns the settings of dialogue `number`, which vary the options that change the adapter's replies.
    fn settings_json(&mut self, number: u64) -> String {
        let (discovery, cancel) = (["push", "ask"][number as usize % 2], number % 3 != 2);
        let retry_after = number % 5 != 4;
        format!(
            concat!(
                r#"{{"classes":[{{"name":"read","effect":"safe","aim_ms":200.0,"deadline_ms":600.0}},"#,
                r#"{{"name":"book","effect":"keyed","group":"all","window_ms":300,"aim_ms":150,"deadline_ms":500}},"#,
                r#"{{"name":"pay","effect":"unsafe","deadline_ms":400,"late_value":0.2}}],"instances":2,"#,
                r#""zone":"east","zones":["east","west"],"tenants":[{{"name":"acme","quota_per_s":5.0}}],"#,
                r#""report":{{"how":"{}"}},"discovery":"{}","limits":{{"max_attempts":3,"cancel":{},"#,
                r#""may_probe":true,"retry_after":{},"max_retry_after_ms":800}},"weights":"{}"}}"#
            ),
            self.load_report_delivery,
            discovery,
            cancel,
            retry_after,
            ["off", "live"][number as usize / 2 % 2]
        )
    }

    /// Schedules a line for a gateway in the first round that is at least `after_ms` from now.
    fn schedule(&mut self, after_ms: f64, gateway: usize, line: String) {
        let time_bits = (self.now_ms + after_ms).to_bits();
        self.scheduled.insert((time_bits, self.next_order), (gateway, line));
        self.next_order += 1;
    }

    /// Returns the lines of the next round; empty after the last round.
    fn next_round(&mut self) -> String {
        if self.round == self.round_count {
            return String::new();
        }
        let mut text = String::new();
        self.now_ms += 5.0 + (self.random_fraction() * 80.0).floor() / 4.0;
        text.push_str(&format!("ROUND sim_time_ms={}\n", self.now_ms));
        for gateway in 0..2 {
            // Both gateways start in the first round; gateway 1 is removed and started again in round 90.
            if self.round == 0 || (self.round == 90 && gateway == 1) {
                let retire_line = if self.round == 0 { "" } else { "RETIRE\n" };
                let update = self.endpoint_update("warm_copy");
                let seed = self.random_below(1000);
                let settings = &self.settings;
                let lines = format!(
                    "TO i=gateway-{gateway}\n{retire_line}INIT prng={seed} part=x conf={settings}\n{update}"
                );
                text.push_str(&lines);
            }
            let arrivals = self.random_below(1 + (2.0 * self.load) as usize);
            for _ in 0..arrivals {
                self.schedule_request(gateway);
            }
            if self.random_fraction() < 0.06 {
                let mode = ["incr", "total", "lost"][self.random_below(3)];
                let update = self.endpoint_update(mode);
                self.schedule(0.0, gateway, update);
            }
        }
        let now_bits = self.now_ms.to_bits();
        let later = self.scheduled.split_off(&(now_bits + 1, 0));
        let mut selected = usize::MAX;
        for (gateway, line) in std::mem::replace(&mut self.scheduled, later).into_values() {
            if selected != gateway {
                text.push_str(&format!("TO i=gateway-{gateway}\n"));
                selected = gateway;
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        // The adapter must skip lines with an unknown keyword and empty lines.
        text.push_str(if self.round % 7 == 3 { "OMEN of=change\n\nFLUSH\n" } else { "FLUSH\n" });
        self.round += 1;
        self.input.push_str(&text);
        text
    }

    /// Returns the lines of an endpoint update with random records.
    fn endpoint_update(&mut self, mode: &str) -> String {
        if mode == "lost" {
            return "TOPOLOGY serial=3 mode=lost\n".into();
        }
        let count = if mode == "incr" { 1 + self.random_below(2) } else { self.host_count };
        let mut text = format!("TOPOLOGY serial=2 mode={mode} hosts={count}\n");
        for index in 0..count {
            let host = if mode == "incr" { self.random_below(self.host_count + 1) } else { index };
            let readiness = ["active", "active", "active", "active", "leaving", "left"][self.random_below(6)];
            let area = ["east", "west", "far"][host % 3];
            text.push_str(&format!("M host=10.0.0.{host}:80 area={area} readiness={readiness}"));
            if self.random_fraction() < 0.8 {
                text.push_str(&format!(" bay={} heft={:.2}", host / 2, 0.2 + self.random_fraction()));
            }
            if self.random_fraction() < 0.2 {
                text.push_str(&format!(" last_start_ms={:.1}", self.now_ms * self.random_fraction()));
            }
            text.push('\n');
        }
        text
    }

    /// Schedules the arrival of a request in this round, and for some requests the later disconnection of the
    /// client.
    fn schedule_request(&mut self, gateway: usize) {
        let id = format!("r-{}", self.next_request);
        self.next_request += 1;
        let class = ["read", "read", "book", "pay"][self.random_below(4)];
        let tenant_field = ["project=acme ", "project=other ", ""][self.random_below(3)];
        let client_timeout_ms = [300.0, 300.0, 300.0, 77.125][self.random_below(4)];
        self.schedule(
            0.0,
            gateway,
            format!("ACCEPT id={id} cls={class} {tenant_field}patience_left_ms={client_timeout_ms}"),
        );
        if self.random_fraction() < 0.15 {
            self.schedule(self.load * 40.0, gateway, format!("CANCELLED_BY_CLIENT id={id}"));
        }
    }

    /// Carries out the actions in a reply by scheduling the lines that result from them.
    fn handle_reply(&mut self, text: &str) {
        let mut gateway = 0;
        for line in text.lines() {
            let (keyword, rest) = line.split_once(' ').unwrap_or((line, ""));
            self.output.push_str(&mask_log_text(line));
            self.output.push('\n');
            let field = |name: &str| {
                let fields = rest.split(' ').filter_map(|pair| pair.split_once('='));
                fields.filter(|pair| pair.0 == name).map(|pair| pair.1.to_string()).next().unwrap_or_default()
            };
            match keyword {
                "FOR" => gateway = usize::from(field("i") == "gateway-1"),
                "RELAY" => self.schedule_attempt_end(gateway, &field("id"), &field("host")),
                "REVOKE" => {
                    let (id, attempt) = (field("id"), field("try"));
                    let end = format!(
                        "ATTEMPT_END id={id} try={attempt} host=10.0.0.0:80 state_code=called_off \
                         latency_ms=9 complete=1"
                    );
                    self.schedule(1.0, gateway, end);
                }
                "SET_TIMER" => {
                    let after_ms = field("time_ms").parse::<f64>().expect("the time of a timer is a number")
                        - self.now_ms;
                    self.schedule(after_ms.max(0.0), gateway, format!("BELL ref={}", field("ref")));
                }
                "HEALTH_CHECK" => {
                    let (load_report, host) = (self.load_report_field(), field("host"));
                    let result = format!("HEALTH_RESULT host={host} state_code=served{load_report}");
                    self.schedule(8.0, gateway, result);
                }
                "TAIL" => {
                    let mode = ["total", "lost"][self.random_below(2)];
                    let update = self.endpoint_update(mode);
                    self.schedule(30.0, gateway, update);
                }
                _ => {}
            }
        }
    }

    /// Schedules the end of a new attempt, and for some attempts the start of the response before that.
    fn schedule_attempt_end(&mut self, gateway: usize, id: &str, host: &str) {
        let attempts = self.attempts.entry(id.to_string()).or_default();
        let attempt = *attempts;
        *attempts += 1;
        let fails = self.random_fraction() < self.failure_rate;
        let outcome = if fails { OUTCOMES[1 + self.random_below(7)] } else { "served" };
        let latency_ms = 20.0 + self.random_fraction() * 200.0;
        let complete = u8::from(outcome == "served");
        let load_report = if self.load_report_delivery == "inline" {
            self.load_report_field()
        } else {
            " telemetry=-".into()
        };
        if outcome == "served" && self.random_fraction() < 0.2 {
            self.schedule(latency_ms / 2.0, gateway, format!("BEGUN id={id}"));
        }
        let end = format!(
            "ATTEMPT_END id={id} try={attempt} host={host} state_code={outcome} latency_ms={latency_ms:.2} \
             complete={complete}{load_report}"
        );
        self.schedule(latency_ms, gateway, end);
    }

    /// Returns a load report field with random values, preceded by a space; sometimes no field at all.
    fn load_report_field(&mut self) -> String {
        let (utilization, throughput) = (self.random_fraction(), self.random_fraction() * 60.0);
        match self.random_below(4) {
            0 => String::new(),
            1 => format!(" telemetry=utilization:{utilization:.3},unheard:1,throughput:{throughput:.2}"),
            2 => format!(" telemetry=backlog:{},utilization:{utilization:.3}", self.random_below(9)),
            _ => format!(
                " telemetry=utilization:{utilization:.3},throughput:{throughput:.2},backlog:{}",
                self.random_below(9)
            ),
        }
    }
}
