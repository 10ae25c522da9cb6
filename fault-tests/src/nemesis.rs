//! Drawn schedules: a nemesis breaks links and processes by chance within a budget, and prints what it will do, so
//! that it can be played again.
use crate::checkers::{check, Offence};
use crate::history::{Counts, What};
use crate::links::{Door, Faults, Then, Way};
use crate::site::{Far, Site, CLASSES};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// A way whose connections were reset is sound this much later.
const HEALS_IN: Duration = Duration::from_millis(50);

/// What is done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Deed {
    /// The link between a gateway and another part has this fault.
    Link {
        /// The gateway.
        gateway: usize,
        /// The other part.
        far: Far,
        /// The fault.
        faults: Faults,
    },
    /// The gateway is killed; it is started anew afterwards, with the list that discovery has then.
    Kill {
        /// The gateway.
        gateway: usize,
    },
    /// The gateway stands still.
    Pause {
        /// The gateway.
        gateway: usize,
    },
    /// The gateway is told to stop; it is started anew afterwards.
    Term {
        /// The gateway.
        gateway: usize,
    },
    /// The host drains; it is listed as serving again afterwards.
    Drain {
        /// The host.
        host: usize,
    },
}

/// A deed, from when, and for how long.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Since the start, in ms.
    pub at_ms: u64,
    /// How long it lasts, in ms.
    pub for_ms: u64,
    /// What is done.
    pub deed: Deed,
}

/// A schedule, as it is printed and read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Processes of the gateway.
    pub gateways: usize,
    /// Hosts.
    pub hosts: usize,
    /// How long clients send, in ms.
    pub length_ms: u64,
    /// What is done, in the order of time.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Reads a schedule. The error names line and key.
    pub fn read(text: &str) -> Result<Self, String> {
        let schedule: Schedule = toml::from_str(text).map_err(|e| e.to_string())?;
        schedule.check().map(|()| schedule)
    }

    /// Guards against steps on parts that do not exist, and out of order.
    pub fn check(&self) -> Result<(), String> {
        let mut last = 0;
        for (n, step) in self.steps.iter().enumerate() {
            let gateway = match &step.deed {
                Deed::Link { gateway, .. } | Deed::Kill { gateway } => Some(*gateway),
                Deed::Pause { gateway } | Deed::Term { gateway } => Some(*gateway),
                Deed::Drain { .. } => None,
            };
            let host = match &step.deed {
                Deed::Drain { host } | Deed::Link { far: Far::Host(host), .. } => Some(*host),
                _ => None,
            };
            if gateway.is_some_and(|g| g >= self.gateways) {
                return Err(format!(
                    "steps[{n}].deed: there are {} gateways, numbered from 0",
                    self.gateways
                ));
            }
            if host.is_some_and(|h| h >= self.hosts) {
                return Err(format!("steps[{n}].deed: there are {} hosts, numbered from 0", self.hosts));
            }
            if step.at_ms < last {
                return Err(format!(
                    "steps[{n}].at_ms: {} comes after {last}: expected the order of time",
                    step.at_ms
                ));
            }
            last = step.at_ms;
        }
        Ok(())
    }

    /// The schedule as it can be read again.
    pub fn print(&self) -> Result<String, String> {
        toml::to_string(self).map_err(|e| e.to_string())
    }

    /// Draws a schedule of `count` steps: at most half of the gateways are struck at a time, and one host.
    pub fn draw(seed: u64, gateways: usize, hosts: usize, length_ms: u64, count: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut steps: Vec<Step> = Vec::new();
        let most = (gateways / 2).max(1);
        for _ in 0..count {
            let at_ms = rng.random_range(0..length_ms * 3 / 4);
            let for_ms = rng.random_range(length_ms / 20..=length_ms / 6);
            let gateway = rng.random_range(0..gateways);
            let host = rng.random_range(0..hosts);
            let deed = match rng.random_range(0..10) {
                0 => Deed::Kill { gateway },
                1 => Deed::Pause { gateway },
                2 => Deed::Term { gateway },
                3 => Deed::Drain { host },
                far => {
                    let far = [Far::Clients, Far::Host(host), Far::Hosts, Far::Discovery][far as usize % 4];
                    Deed::Link { gateway, far, faults: fault(&mut rng) }
                }
            };
            let step = Step { at_ms, for_ms, deed };
            let meets = |s: &&Step| s.at_ms < at_ms + for_ms + 1500 && at_ms < s.at_ms + s.for_ms + 1500;
            let together: Vec<&Step> = steps.iter().filter(meets).collect();
            let same = |s: &&&Step| struck(s) == struck(&step);
            let gateways_struck = together.iter().filter(|s| struck(s).0.is_some()).count();
            // Guards against two deeds on one part at once, and against more than the budget.
            if together.iter().any(|s| same(&s)) || (struck(&step).0.is_some() && gateways_struck >= most) {
                continue;
            }
            steps.push(step);
        }
        steps.sort_by_key(|s| s.at_ms);
        Schedule { gateways, hosts, length_ms, steps }
    }
}

/// What a step strikes: a gateway, or hosts for all.
fn struck(step: &Step) -> (Option<usize>, bool) {
    match step.deed {
        Deed::Link { gateway, .. } | Deed::Kill { gateway } => (Some(gateway), false),
        Deed::Pause { gateway } | Deed::Term { gateway } => (Some(gateway), false),
        Deed::Drain { .. } => (None, true),
    }
}

fn fault(rng: &mut ChaCha8Rng) -> Faults {
    let then = [Then::Reset, Then::End, Then::Silence][rng.random_range(0..3)];
    let way = match rng.random_range(0..5) {
        0 => Way { held: true, ..Way::default() },
        1 => Way { delay_ms: rng.random_range(5..200), ..Way::default() },
        2 => Way { jitter_ms: rng.random_range(5..200), ..Way::default() },
        3 => Way { bytes_per_s: Some(rng.random_range(500..20_000)), ..Way::default() },
        _ => Way { cut_after: Some((rng.random_range(1..600), then)), ..Way::default() },
    };
    match rng.random_range(0..6) {
        0 => Faults { door: Door::Refused, ..Faults::default() },
        1 => Faults { door: Door::BlackHole, ..Faults::default() },
        2 => Faults { door: Door::Reset, ..Faults::default() },
        3 => Faults { there: way, ..Faults::default() },
        4 => Faults { back: way, ..Faults::default() },
        _ => Faults { there: way, back: way, ..Faults::default() },
    }
}

/// What a schedule showed.
#[derive(Clone, Debug)]
pub struct Played {
    /// Messages sent.
    pub messages: usize,
    /// Whole answers.
    pub answers: usize,
    /// Of them 200.
    pub served: usize,
    /// Gateways through which a message was served at the end.
    pub back: usize,
    /// Broken promises.
    pub offences: Vec<Offence>,
}

/// Plays a schedule on a site of its size: three clients at each gateway send all the while.
pub async fn play(site: &mut Site, schedule: &Schedule) -> Result<Played, String> {
    site.take();
    let start = Instant::now();
    let mut talks = Vec::new();
    for gateway in 0..schedule.gateways {
        for c in 0..3 {
            let at = site.from_clients[gateway].at;
            let mut client = crate::peers::Client::new(gateway, at, &site.book);
            let letters: Vec<_> =
                (0..schedule.length_ms / 40).map(|n| site.message(CLASSES[(n as usize + c) % 3])).collect();
            let end = start + Duration::from_millis(schedule.length_ms);
            talks.push(tokio::spawn(async move {
                for letter in &letters {
                    if Instant::now() >= end {
                        return;
                    }
                    client.ask(letter).await;
                    tokio::time::sleep(Duration::from_millis(25)).await;
                }
            }));
        }
    }
    // Begins and ends of steps, in the order of time.
    let mut moments: Vec<(u64, bool, &Step)> =
        schedule.steps.iter().flat_map(|s| [(s.at_ms, true, s), (s.at_ms + s.for_ms, false, s)]).collect();
    moments.sort_by_key(|m| m.0);
    for (at_ms, begins, step) in moments {
        sleep_until(start + Duration::from_millis(at_ms)).await;
        act(site, &step.deed, begins).await?;
    }
    for talk in talks {
        talk.await.map_err(|e| e.to_string())?;
    }
    let mut back = 0;
    for gateway in 0..schedule.gateways {
        if site.gateways[gateway].has_ended() {
            return Err(format!("gateway {gateway} ended by itself:\n{}", site.logs()));
        }
        for _ in 0..50 {
            if site.converse(&[gateway], 1, 1).await == [Some(200)] {
                back += 1;
                break;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
    let history = site.take();
    let counts = Counts::of(&history);
    Ok(Played {
        messages: counts.asked,
        answers: counts.answered(),
        served: counts.served,
        back,
        offences: check(&history, &site.terms()),
    })
}

async fn act(site: &mut Site, deed: &Deed, begins: bool) -> Result<(), String> {
    site.book.note(What::Fault { words: format!("{} {deed:?}", if begins { "begins" } else { "ends" }) });
    match deed {
        Deed::Link { gateway, far, faults } => {
            let faults = if begins { *faults } else { Faults::default() };
            if *far == Far::Clients && begins {
                site.broken(*gateway, "the way from its clients");
            }
            for link in site.links(*gateway, *far) {
                link.set(faults);
                // A way that was cut off in the middle stays so for the connections that it cut.
                if !begins || faults.door != Door::Open {
                    link.reset();
                }
            }
            if *far == Far::Discovery {
                let gateway = *gateway;
                site.book.note(if begins { What::Deaf { gateway } } else { What::Hears { gateway } });
            }
            if *far == Far::Clients && !begins {
                // What is being reset is not sound yet: a message on it is nobody's fault.
                tokio::time::sleep(HEALS_IN).await;
                site.healed(*gateway);
            }
        }
        Deed::Kill { gateway } if begins => {
            site.broken(*gateway, "killed");
            site.gateways[*gateway].kill().await?;
        }
        Deed::Term { gateway } if begins => {
            site.broken(*gateway, "told to stop");
            site.terminate(*gateway).await?;
        }
        Deed::Kill { gateway } | Deed::Term { gateway } => {
            site.restart(*gateway).await?;
        }
        Deed::Pause { gateway } if begins => {
            site.pause(*gateway)?;
        }
        Deed::Pause { gateway } => {
            site.go_on(*gateway)?;
        }
        Deed::Drain { host } => {
            site.discovery.state(*host, if begins { "DRAINING" } else { "SERVING" });
            site.hosts[*host].conduct(|c| c.drains = begins);
        }
    }
    Ok(())
}
