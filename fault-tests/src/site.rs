//! A site: processes of the gateway, hosts, discovery and clients, and a link on each path between two of them.
use crate::checkers::{Effect, Terms};
use crate::history::{Book, Event, What};
use crate::links::{Faults, Link};
use crate::peers::{Client, Discovery, Host, Message};
use crate::process::{Launch, Process};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How large a site is, and its times.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Processes of the gateway, 1 to 40.
    pub gateways: usize,
    /// South side hosts.
    pub hosts: usize,
    /// How long a client waits.
    pub patience: Duration,
    /// How long a message takes a host.
    pub work: Duration,
    /// For how long hosts drop repeats of a `book`, in ms.
    pub window_ms: u64,
    /// Lists are pushed, and not asked for.
    pub pushed: bool,
    /// Gateways may call off what is out.
    pub cancel: bool,
}

impl Default for Size {
    fn default() -> Self {
        Size {
            gateways: 2,
            hosts: 3,
            patience: Duration::from_millis(1000),
            work: Duration::from_millis(8),
            window_ms: 800,
            pushed: false,
            cancel: true,
        }
    }
}

/// One side of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Far {
    /// The gateway's clients.
    Clients,
    /// A host.
    Host(usize),
    /// All hosts.
    Hosts,
    /// Discovery.
    Discovery,
}

/// Repeats and the first relay of a message, together.
const MAX_ATTEMPTS: usize = 3;
/// The classes, in turn.
pub const CLASSES: [&str; 3] = ["look", "book", "sign"];

/// Makes messages, each with an id of its own.
#[derive(Clone, Debug)]
pub struct Messages {
    last_id: Arc<AtomicU64>,
    patience: Duration,
}

impl Messages {
    /// The next message.
    pub fn next(&self, class: &'static str) -> Message {
        let id = self.last_id.fetch_add(1, Ordering::Relaxed);
        Message { id: format!("{id:016x}"), class, patience: self.patience }
    }
}

/// All of it, running.
#[derive(Debug)]
pub struct Site {
    /// Its size.
    pub size: Size,
    /// Where all write what they see.
    pub book: Book,
    /// The processes.
    pub gateways: Vec<Process>,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// Discovery.
    pub discovery: Discovery,
    /// From clients to each gateway.
    pub from_clients: Vec<Link>,
    /// From each gateway to each host.
    pub to_hosts: Vec<Vec<Link>>,
    /// From each gateway to discovery.
    pub to_discovery: Vec<Link>,
    last_id: Arc<AtomicU64>,
    folder: tempfile::TempDir,
}

impl Site {
    /// Starts everything, and waits until all gateways serve.
    pub async fn start(launch: &Launch, size: Size) -> Result<Self, String> {
        room_for(&size)?;
        let told = |e: std::io::Error| e.to_string();
        let book = Book::default();
        let folder = tempfile::tempdir().map_err(told)?;
        let discovery = Discovery::start(size.gateways, &book).await.map_err(told)?;
        let (mut hosts, mut to_discovery) = (Vec::new(), Vec::new());
        let mut to_hosts: Vec<Vec<Link>> = (0..size.gateways).map(|_| Vec::new()).collect();
        for number in 0..size.hosts {
            let host = Host::start(number, size.gateways, size.work, &book).await.map_err(told)?;
            for (links, at) in to_hosts.iter_mut().zip(&host.at) {
                links.push(Link::to(*at).await.map_err(told)?);
            }
            discovery.list(number, to_hosts.iter().map(|links| links[number].at).collect(), 0);
            hosts.push(host);
        }
        for at in &discovery.at {
            to_discovery.push(Link::to(*at).await.map_err(told)?);
        }
        let mut site = Site {
            size,
            book,
            gateways: Vec::new(),
            hosts,
            discovery,
            from_clients: Vec::new(),
            to_hosts,
            to_discovery,
            last_id: Arc::default(),
            folder,
        };
        let configs: Vec<Value> = (0..size.gateways).map(|me| site.config(me)).collect();
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        for (me, config) in configs.iter().enumerate() {
            let name = format!("g{me}");
            let gateway = Process::start(launch, site.folder.path(), &name, listen, config).await?;
            site.from_clients.push(Link::to(gateway.at).await.map_err(told)?);
            site.gateways.push(gateway);
        }
        Ok(site)
    }

    /// The configuration of gateway `me`, with the list as it is now.
    pub fn config(&self, me: usize) -> Value {
        let class = |name: &str, effect: &str, window_ms: u64| {
            json!({"name": name, "aim_ms": 300.0, "deadline_ms": self.size.patience.as_millis() as f64,
                   "effect": effect, "group": "all", "window_ms": window_ms, "late_value": 0.2})
        };
        json!({
            "listen": "127.0.0.1:0", "discovery": self.to_discovery[me].at.to_string(), "seed": me + 1,
            "limits": {"sockets": 256},
            "known": self.discovery.whole(me),
            "settings": {
                "classes": [class("look", "safe", 0), class("book", "keyed", self.size.window_ms), class("sign", "unsafe", 0)],
                "tenants": [{"name": "acme", "quota_per_s": 100_000.0}],
                "limits": {"cancel": self.size.cancel, "conn_idle_ms": 5000.0, "dial_timeout_ms": 250.0,
                           "max_attempts": MAX_ATTEMPTS, "max_open": 1000, "max_retry_after_ms": 1000.0,
                           "retry_after": true},
                "report": {"how": "inline", "fields": ["utilization", "throughput"]},
                "discovery": if self.size.pushed { "push" } else { "ask" }, "instances": self.size.gateways, "me": me, "zone": "a", "zones": ["a"],
                "tick_ms": 5.0}
        })
    }

    /// Starts a gateway that has ended anew, with the list as it is now.
    pub async fn restart(&mut self, me: usize) -> Result<(), String> {
        let config = self.config(me);
        self.discovery.tell_at_start(me, &self.book);
        self.gateways[me].restart(&config).await?;
        self.healed(me);
        Ok(())
    }

    /// The links between a gateway and another part.
    pub fn links(&self, gateway: usize, far: Far) -> Vec<&Link> {
        match far {
            Far::Clients => vec![&self.from_clients[gateway]],
            Far::Host(host) => vec![&self.to_hosts[gateway][host]],
            Far::Hosts => self.to_hosts[gateway].iter().collect(),
            Far::Discovery => vec![&self.to_discovery[gateway]],
        }
    }

    /// Tells a gateway to stop, and waits for its end; it has to end well.
    pub async fn terminate(&mut self, me: usize) -> Result<(), String> {
        match self.gateways[me].terminate().await? {
            Some(0) => Ok(()),
            code => Err(format!("told to stop, gateway {me} ended with {code:?}")),
        }
    }

    /// Lets a gateway stand still.
    pub fn pause(&self, me: usize) -> Result<(), String> {
        self.broken(me, "stands still");
        self.book.note(What::Deaf { gateway: me });
        self.gateways[me].pause()
    }

    /// Lets it go on.
    pub fn go_on(&self, me: usize) -> Result<(), String> {
        self.gateways[me].go_on()?;
        self.book.note(What::Hears { gateway: me });
        self.healed(me);
        Ok(())
    }

    /// What this site's gateways have to keep.
    pub fn terms(&self) -> Terms {
        Terms {
            classes: vec![
                ("look".into(), Effect::Safe),
                ("book".into(), Effect::Keyed(self.size.window_ms)),
                ("sign".into(), Effect::Unsafe),
            ],
            max_attempts: MAX_ATTEMPTS,
            slack_ms: 500,
            grace_ms: 1000,
            leave_ms: None,
            told_slack_ms: None,
            cold: None,
            contradiction_ms: 2000,
            most_out: self.size.gateways,
            limits: Vec::new(),
        }
    }

    /// A message with an id of its own.
    pub fn message(&self, class: &'static str) -> Message {
        self.messages().next(class)
    }

    /// Makes messages of this site, in any task.
    pub fn messages(&self) -> Messages {
        Messages { last_id: self.last_id.clone(), patience: self.size.patience }
    }

    /// Clients of each of some gateways send so many messages one after another; the statuses that they got.
    pub async fn converse(&self, gateways: &[usize], clients: usize, messages: usize) -> Vec<Option<u16>> {
        let talks = gateways.iter().flat_map(|g| (0..clients).map(move |c| (*g, c))).map(|(gateway, c)| {
            let mut client = Client::new(gateway, self.from_clients[gateway].at, &self.book);
            let letters: Vec<Message> = (0..messages).map(|n| self.message(CLASSES[(n + c) % 3])).collect();
            tokio::spawn(async move {
                let mut got = Vec::new();
                for letter in &letters {
                    got.push(client.ask(letter).await);
                }
                got
            })
        });
        let talks: Vec<_> = talks.collect();
        let mut all = Vec::new();
        for talk in talks {
            all.extend(talk.await.unwrap_or_default());
        }
        all
    }

    /// Notes that clients of a gateway cannot expect answers from here on.
    pub fn broken(&self, gateway: usize, words: impl Into<String>) {
        self.book.note(What::Broken { gateway, words: words.into() });
    }

    /// Notes that they can again.
    pub fn healed(&self, gateway: usize) {
        self.book.note(What::Healed { gateway });
    }

    /// Heals all links.
    pub fn heal_links(&self) {
        let links = self.from_clients.iter().chain(&self.to_discovery).chain(self.to_hosts.iter().flatten());
        links.filter(|link| link.faults() != Faults::default()).for_each(|link| {
            link.set(Faults::default());
            // What was held back in old connections is no message's any more.
            link.reset();
        });
    }

    /// What has happened since the last call.
    pub fn take(&self) -> Vec<Event> {
        self.book.take()
    }

    /// The last log lines of all gateways, for a reader of an offence.
    pub fn logs(&self) -> String {
        let of =
            |(n, g): (usize, &Process)| g.log().iter().map(|l| format!("g{n} {l}\n")).collect::<String>();
        self.gateways.iter().enumerate().map(of).collect()
    }
}

/// Guards against a rig that runs into a lack of descriptors in the middle: it says so before.
fn room_for(size: &Size) -> Result<(), String> {
    if !(1..=40).contains(&size.gateways) || size.hosts == 0 {
        return Err(format!(
            "a rig has 1 to 40 gateways and a host, not {} and {}",
            size.gateways, size.hosts
        ));
    }
    // Listeners of links and peers, and for each path some connections with both ends here.
    let needs = 64 + size.gateways * (size.hosts * 12 + 40);
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current.unwrap_or(u64::MAX);
    if (needs as u64) > limit {
        return Err(format!(
            "needs about {needs} descriptors, and may hold {limit}: raise the limit of open files"
        ));
    }
    Ok(())
}
