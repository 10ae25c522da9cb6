//! A short show without any file: five gateways under load, a burst, half of the hosts lost, a gateway killed and one cut
//! off from all hosts.
use crate::checkers::check;
use crate::history::{Counts, Event};
use crate::links::Faults;
use crate::peers::Client;
use crate::process::Launch;
use crate::site::{Site, Size, CLASSES};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// Clients of each gateway, and as many more while the burst lasts.
const CLIENTS: usize = 4;
/// Hosts from this one on are lost together.
const LOST_FROM: usize = 3;

/// What is done, at which part of the time.
const ACTS: [(f64, &str); 8] = [
    (0.15, "a burst begins"),
    (0.30, "the burst is over"),
    (0.35, "half of the hosts fall silent"),
    (0.55, "they are back"),
    (0.60, "gateway 1 is killed"),
    (0.70, "gateway 1 starts anew"),
    (0.75, "gateway 2 is cut off from all hosts"),
    (0.90, "gateway 2 reaches them again"),
];

/// Plays it for so long, and tells a line a second; whether every promise was kept.
pub async fn play(launch: &Launch, length: Duration) -> Result<bool, String> {
    let size = Size { gateways: 5, hosts: 6, ..Size::default() };
    let mut site = Site::start(launch, size).await?;
    println!("5 gateways, 6 hosts, {} clients", 5 * CLIENTS);
    println!(
        "{:>4} {:>8} {:>8} {:>8} {:>8} {:>11}",
        "s", "asked", "served", "refused", "failed", "unanswered"
    );
    let (start, burst) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let talks: Vec<_> = (0..size.gateways * CLIENTS * 2)
        .map(|n| {
            let (gateway, extra) = (n % size.gateways, n >= size.gateways * CLIENTS);
            let mut client = Client::new(gateway, site.from_clients[gateway].at, &site.book);
            let letters: Vec<_> =
                (0..length.as_millis() / 30).map(|m| site.message(CLASSES[(m as usize + n) % 3])).collect();
            let burst = burst.clone();
            tokio::spawn(async move {
                for letter in &letters {
                    if start.elapsed() >= length {
                        return;
                    }
                    if !extra || burst.load(Ordering::Relaxed) {
                        client.ask(letter).await;
                    }
                    sleep(Duration::from_millis(30)).await;
                }
            })
        })
        .collect();
    let (mut history, mut acts) = (Vec::new(), ACTS.iter().peekable());
    let seconds = length.as_secs().max(1);
    for second in 1..=seconds {
        let end = start + Duration::from_secs(second);
        while let Some((part, words)) = acts.next_if(|(part, _)| start + length.mul_f64(*part) < end) {
            sleep_until(start + length.mul_f64(*part)).await;
            println!("     {words}");
            act(&mut site, &burst, words).await?;
        }
        sleep_until(end).await;
        let news = site.take();
        tell(second, &news);
        history.extend(news);
    }
    for talk in talks {
        talk.await.map_err(|e| e.to_string())?;
    }
    history.extend(site.take());
    let broken = check(&history, &site.terms());
    for offence in &broken {
        println!("{} ms: {:?}: {}", offence.at_us / 1000, offence.promise, offence.words);
    }
    println!("{} messages, {} promises broken", Counts::of(&history).asked, broken.len());
    Ok(broken.is_empty())
}

fn tell(second: u64, news: &[Event]) {
    let Counts { asked, served, refused, failed, unanswered } = Counts::of(news);
    println!("{second:>4} {asked:>8} {served:>8} {refused:>8} {failed:>8} {unanswered:>11}");
}

async fn act(site: &mut Site, burst: &AtomicBool, words: &str) -> Result<(), String> {
    let lost = |site: &Site, faults| {
        site.to_hosts.iter().flat_map(|links| &links[LOST_FROM..]).for_each(|link| link.set(faults));
    };
    match words {
        "a burst begins" => burst.store(true, Ordering::Relaxed),
        "the burst is over" => burst.store(false, Ordering::Relaxed),
        "half of the hosts fall silent" => lost(site, Faults::cut()),
        "they are back" => lost(site, Faults::default()),
        "gateway 1 is killed" => {
            site.broken(1, words);
            site.gateways[1].kill().await?;
        }
        "gateway 1 starts anew" => site.restart(1).await?,
        "gateway 2 is cut off from all hosts" => {
            site.to_hosts[2].iter().for_each(|link| link.set(Faults::cut()));
        }
        _ => site.heal_links(),
    }
    Ok(())
}
