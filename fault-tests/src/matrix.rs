//! The fault matrix: one fault after another on each path, with messages through it and past it, each line judged.
use crate::checkers::{check, Offence, Promise};
use crate::history::{Counts, Event, What};
use crate::links::{Door, Faults, Then, Way};
use crate::peers::NO_CONNECTION;
use crate::site::{Far, Site};
use std::fmt::Write as _;
use std::time::Duration;

/// The path that a fault is on; always of gateway 0, while gateway 1 is sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// From clients to the gateway.
    Clients,
    /// From the gateway to one of its hosts.
    Host,
    /// From the gateway to all its hosts.
    Hosts,
    /// From the gateway to discovery, while a host drains.
    Discovery,
}

/// What happens to the gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blow {
    /// It is killed, and started anew.
    Kill,
    /// It stands still for a moment.
    Pause,
    /// It is told to stop, and started anew.
    Term,
    /// It is told to read its configuration anew.
    Hangup,
    /// Its configuration is replaced by one that cannot be worked with.
    BadHangup,
}

/// A line of the matrix.
#[derive(Clone, Debug)]
pub enum Line {
    /// A fault on a path.
    Link(Path, &'static str, String, Box<Faults>),
    /// A blow to the process.
    Process(Blow),
}

/// What a line showed.
#[derive(Clone, Debug)]
pub struct Row {
    /// Path, side and fault.
    pub name: String,
    /// Messages sent.
    pub messages: usize,
    /// Whole answers that clients read.
    pub answers: usize,
    /// Of them 200.
    pub served: usize,
    /// How often the fault met a connection, or a piece of what crosses one; `None` for blows to the process.
    pub struck: Option<u64>,
    /// Whether afterwards messages were served through each gateway by every host.
    pub back: bool,
    /// Broken promises.
    pub offences: Vec<Offence>,
}

impl Row {
    /// How often a promise was broken.
    pub fn count(&self, promise: Promise) -> usize {
        self.offences.iter().filter(|o| o.promise == promise).count()
    }

    /// Whether all was kept.
    pub fn kept(&self) -> bool {
        self.offences.is_empty() && self.back && self.struck != Some(0)
    }
}

/// Bytes after which requests and replies are cut: within the first line, the head, at its end, in the body.
const REQUEST_CUTS: [u64; 5] = [1, 15, 60, 150, 200];
const REPLY_CUTS: [u64; 6] = [1, 9, 17, 60, 90, 150];
/// So many bytes a request and a reply have at most here; in the long form each is a cut.
const REQUEST_BYTES: u64 = 230;
const REPLY_BYTES: u64 = 210;

/// So many rounds of messages at most until a fault has met something.
const ROUNDS: usize = 40;

/// All lines; in the long form with a cut at each byte of a request and a reply.
pub fn lines(long: bool) -> Vec<Line> {
    let mut lines = Vec::new();
    let mut add =
        |path, side, fault: String, faults| lines.push(Line::Link(path, side, fault, Box::new(faults)));
    let there = |way| Faults { there: way, ..Faults::default() };
    let back = |way| Faults { back: way, ..Faults::default() };
    let each = |few: &[u64], all: u64| if long { (1..=all).collect() } else { few.to_vec() };
    for path in [Path::Clients, Path::Host, Path::Hosts, Path::Discovery] {
        for door in [Door::Refused, Door::Reset, Door::BlackHole] {
            add(path, "new", format!("{door:?}"), Faults { door, ..Faults::default() });
        }
        let slow = [
            ("delay 60 ms", Way { delay_ms: 60, ..Way::default() }),
            ("jitter 90 ms", Way { jitter_ms: 90, ..Way::default() }),
            ("2,000 bytes/s", Way { bytes_per_s: Some(2000), ..Way::default() }),
            ("held", Way { held: true, ..Way::default() }),
        ];
        for (name, way) in slow {
            add(path, "request", name.into(), there(way));
            add(path, "reply", name.into(), back(way));
        }
        add(path, "both", "held".into(), Faults::cut());
        if path == Path::Hosts {
            continue;
        }
        for then in [Then::Reset, Then::End, Then::Silence] {
            for after in each(&REQUEST_CUTS, REQUEST_BYTES) {
                add(path, "request", format!("{then:?} after {after}"), there(cut(after, then)));
            }
            for after in each(&REPLY_CUTS, REPLY_BYTES) {
                add(path, "reply", format!("{then:?} after {after}"), back(cut(after, then)));
            }
        }
    }
    let blows = [Blow::Kill, Blow::Pause, Blow::Term, Blow::Hangup, Blow::BadHangup];
    lines.extend(blows.map(Line::Process));
    lines
}

fn cut(after: u64, then: Then) -> Way {
    Way { cut_after: Some((after, then)), ..Way::default() }
}

/// Plays a line on a site of two gateways, and heals it.
pub async fn play(site: &mut Site, line: &Line) -> Result<Row, String> {
    // Guards against a fault on a way that nothing goes: the one before has left its host alone.
    for gateway in [0, 1] {
        if !in_use(site, gateway).await {
            return Err(format!("gateway {gateway} does not use every host:\n{}", site.logs()));
        }
    }
    site.take();
    let both = [0, 1];
    let mut struck = None;
    let name = match line {
        Line::Link(path, side, fault, faults) => {
            if *path == Path::Clients {
                site.broken(0, fault.clone());
            }
            for link in links(site, *path) {
                link.struck();
                link.set(**faults);
                // Discovery's watch is open already, and clients' and hosts' connections may be.
                if faults.door != Door::Open || *path == Path::Discovery {
                    link.reset();
                }
            }
            if *path == Path::Discovery {
                site.book.note(What::Deaf { gateway: 0 });
                let last = site.hosts.len() - 1;
                site.discovery.state(last, "DRAINING");
                site.hosts[last].conduct(|c| c.drains = true);
            }
            // By chance no message may go this way at first.
            let mut met = 0;
            for _ in 0..ROUNDS {
                let mark = site.book.mark();
                site.converse(&both, 3, 4).await;
                met += links(site, *path).iter().map(|link| link.struck()).sum::<u64>();
                let refused =
                    |e: &Event| matches!(&e.what, What::Unanswered { how, .. } if how == NO_CONNECTION);
                met += site.book.since(mark).iter().filter(|e| refused(e)).count() as u64;
                if met > 0 {
                    break;
                }
                if *path == Path::Discovery {
                    // News of any kind ends a call and begins the next: more bytes go this way.
                    site.discovery.state(site.hosts.len() - 1, "DRAINING");
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            struck = Some(met);
            site.heal_links();
            if *path == Path::Discovery {
                site.book.note(What::Hears { gateway: 0 });
                let last = site.hosts.len() - 1;
                site.hosts[last].conduct(|c| c.drains = false);
                site.discovery.state(last, "SERVING");
            }
            format!("{path:?} {side} {fault}")
        }
        Line::Process(blow) => {
            strike(site, *blow).await?;
            format!("Process {blow:?}")
        }
    };
    site.healed(0);
    let back = in_use(site, 0).await && in_use(site, 1).await;
    let history = site.take();
    let counts = Counts::of(&history);
    Ok(Row {
        name,
        messages: counts.asked,
        answers: counts.answered(),
        served: counts.served,
        struck,
        back,
        offences: check(&history, &site.terms()),
    })
}

fn links(site: &Site, path: Path) -> Vec<&crate::links::Link> {
    let far = match path {
        Path::Clients => Far::Clients,
        Path::Host => Far::Host(0),
        Path::Hosts => Far::Hosts,
        Path::Discovery => Far::Discovery,
    };
    site.links(0, far)
}

/// Whether a gateway comes to serve by every host, within some rounds: one that failed gets its trials.
async fn in_use(site: &Site, gateway: usize) -> bool {
    let mut hosts = vec![false; site.hosts.len()];
    for _ in 0..200 {
        let served = site.book.mark();
        site.converse(&[gateway], 2, 3).await;
        for event in site.book.since(served) {
            if let What::Made { host, .. } = event.what {
                hosts[host] = true;
            }
        }
        if hosts.iter().all(|used| *used) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

async fn strike(site: &mut Site, blow: Blow) -> Result<(), String> {
    let config = site.config(0);
    match blow {
        Blow::Hangup => site.gateways[0].reload(&config)?,
        Blow::BadHangup => site.gateways[0].reload(&serde_json::json!({"settings": 1}))?,
        _ => site.broken(0, format!("{blow:?}")),
    }
    match blow {
        Blow::Pause => {
            site.pause(0)?;
            // It stands still while its clients' patience ends.
            site.converse(&[0, 1], 3, 1).await;
            site.go_on(0)?;
        }
        Blow::Kill => site.gateways[0].kill().await?,
        Blow::Term => site.terminate(0).await?,
        Blow::Hangup | Blow::BadHangup => {}
    }
    site.converse(&[0, 1], 3, 4).await;
    if matches!(blow, Blow::Kill | Blow::Term) {
        site.restart(0).await?;
    }
    if site.gateways[0].has_ended() {
        return Err(format!("the gateway ended at {blow:?}"));
    }
    Ok(())
}

/// The rows as a table in Markdown.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| fault | struck | messages | answers | served | unanswered | twice | late | swapped | repeated | after grace | \
         no advice | back |\n|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---|\n",
    );
    for row in rows {
        let of = |promise| row.count(promise);
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            row.name,
            row.struck.map_or("-".into(), |n| n.to_string()),
            row.messages,
            row.answers,
            row.served,
            of(Promise::Answered),
            of(Promise::Once),
            of(Promise::InTime),
            of(Promise::Unchanged),
            of(Promise::Effects),
            of(Promise::Drains),
            of(Promise::Advice),
            if row.back { "yes" } else { "no" },
        );
    }
    text
}

/// Plays all lines, dealt out over so many sites at once; the rows in the lines' order.
pub async fn play_all(launch: &crate::process::Launch, long: bool, jobs: usize) -> Result<Vec<Row>, String> {
    let lines = lines(long);
    let jobs = jobs.clamp(1, lines.len());
    let hands: Vec<_> = (0..jobs)
        .map(|job| {
            let mine: Vec<(usize, Line)> =
                lines.iter().cloned().enumerate().skip(job).step_by(jobs).collect();
            let launch = launch.clone();
            tokio::spawn(async move {
                let mut site = Site::start(&launch, crate::site::Size::default()).await?;
                let mut rows = Vec::new();
                for (number, line) in mine {
                    rows.push((number, play(&mut site, &line).await?));
                }
                Ok::<_, String>(rows)
            })
        })
        .collect();
    let mut rows = Vec::new();
    for hand in hands {
        rows.extend(hand.await.map_err(|e| e.to_string())??);
    }
    rows.sort_by_key(|(number, _)| *number);
    Ok(rows.into_iter().map(|(_, row)| row).collect())
}
