//! The bytes of the line protocol: drawn dialogues whose every reply must stay as it is.
//!
//! The other end of the dialogue is played here: it carries out what the adapter asks for and answers in the
//! protocol's own words, so that nothing hangs on the adapter's types. Two dialogues are stored whole, of the
//! others the digests of both directions. Run with `DIALOGUES=print` to see them, after a wanted change.

mod simulator;

use simulator::{comparable, dialogue, Dialogue};
use std::fmt::Write as _;

const DIALOGUE_COUNT: u64 = 24;
const DIGESTS: &str = include_str!("../fixtures/dialogues.txt");
const WHOLE: [(u64, &str, &str); 2] = [
    (0, include_str!("../fixtures/dialogue-0.in"), include_str!("../fixtures/dialogue-0.out")),
    (1, include_str!("../fixtures/dialogue-1.in"), include_str!("../fixtures/dialogue-1.out")),
];

fn fnv(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

fn line(number: u64, played: &Dialogue) -> String {
    let (input, output) = (&played.input, &played.output);
    let (lines, replies) = (input.lines().count(), output.lines().count());
    format!("{number} {lines} {replies} {:016x} {:016x}", fnv(input), fnv(output))
}

#[test]
fn drawn_dialogues_keep_their_bytes() {
    let played: Vec<Dialogue> = (0..DIALOGUE_COUNT).map(dialogue).collect();
    let lines: Vec<String> = (0..).zip(&played).map(|(number, played)| line(number, played)).collect();
    if std::env::var("DIALOGUES").is_ok_and(|wanted| wanted == "print") {
        println!("{}", lines.join("\n"));
        let folder = std::env::temp_dir();
        for (number, ..) in WHOLE {
            let of = &played[number as usize];
            std::fs::write(folder.join(format!("dialogue-{number}.in")), &of.input).expect("written");
            std::fs::write(folder.join(format!("dialogue-{number}.out")), &of.output).expect("written");
        }
    }
    let recorded: Vec<&str> = DIGESTS.lines().filter(|line| !line.starts_with('#')).collect();
    assert_eq!(recorded.len(), lines.len(), "the fixture has a line for each dialogue");
    let mut differing = String::new();
    for (recorded, seen) in recorded.iter().zip(&lines) {
        if recorded != seen {
            let _ = writeln!(differing, "recorded {recorded}, seen {seen}");
        }
    }
    assert!(differing.is_empty(), "{differing}");
}

#[test]
fn stored_dialogues_are_answered_byte_by_byte() {
    for (number, input, output) in WHOLE {
        let mut seen = Vec::new();
        ternstack_simulator_adapter::run(input.as_bytes(), &mut seen).expect("a stored dialogue is legal");
        let seen = String::from_utf8(seen).expect("UTF-8");
        assert!(seen.ends_with("NEXT\n") && !seen.contains('\r'), "lines end in a newline alone");
        let seen: String = seen.lines().map(|line| comparable(line) + "\n").collect();
        assert_eq!(seen, output, "dialogue {number}");
    }
}

#[test]
fn the_dialogues_speak_every_word_of_the_protocol() {
    let played: Vec<Dialogue> = (0..DIALOGUE_COUNT).map(dialogue).collect();
    let replies = [
        "FOR",
        "RELAY",
        "REVOKE",
        "OVERLOAD_REPLY",
        "DROP_REQUEST",
        "SET_TIMER",
        "HEALTH_CHECK",
        "TAIL",
        "PRINT",
        "NEXT",
    ];
    for word in replies {
        let spoken = played.iter().any(|p| p.output.lines().any(|l| l.split(' ').next() == Some(word)));
        assert!(spoken, "{word} is never replied");
    }
    let lines = [
        "ROUND",
        "TO",
        "FLUSH",
        "INIT",
        "RETIRE",
        "TOPOLOGY",
        "M",
        "ACCEPT",
        "BEGUN",
        "ATTEMPT_END",
        "CANCELLED_BY_CLIENT",
        "HEALTH_RESULT",
        "BELL",
        "OMEN",
    ];
    for word in lines {
        let spoken = played.iter().any(|p| p.input.lines().any(|l| l.split(' ').next() == Some(word)));
        assert!(spoken, "{word} is never said");
    }
}

/// Lines that stop the adapter, each after a legal beginning, with the whole text of the error.
const FAULTY: &str = include_str!("../fixtures/faulty-lines.txt");

#[test]
fn faulty_lines_keep_the_texts_of_their_errors() {
    let conf = r#"conf={"classes":[{"name":"read","deadline_ms":600.0}],"zones":["east"],"zone":"east"}"#;
    let mut seen = String::new();
    for faulty in FAULTY.lines().filter(|line| !line.starts_with("  ")) {
        let faulty = faulty.replace("CONF", conf).replace("; ", "\n");
        let begin = format!("ROUND sim_time_ms=10\nTO i=gateway-0\nINIT prng=1 {conf}\n");
        let text = match faulty.strip_prefix("ALONE ") {
            Some(alone) => format!("{alone}\nFLUSH\n"),
            None => format!("{begin}{faulty}\nFLUSH\n"),
        };
        let told = match ternstack_simulator_adapter::run(text.as_bytes(), &mut Vec::new()) {
            Ok(()) => "taken".to_string(),
            Err(error) => error.to_string(),
        };
        let _ = writeln!(seen, "{}\n  {told}", faulty.replace(conf, "CONF").replace('\n', "; "));
    }
    if std::env::var("DIALOGUES").is_ok_and(|wanted| wanted == "print") {
        println!("{seen}");
    }
    assert_eq!(seen, FAULTY);
}
