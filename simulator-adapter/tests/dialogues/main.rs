//! Checks the bytes of the line protocol: the replies in generated dialogues must match the recorded ones.
//!
//! The module `simulator` simulates the other end of a dialogue. It carries out the adapter's actions and
//! writes lines as literal text, so that the recorded dialogues do not depend on the adapter's types. Two
//! dialogues are recorded in full, the others as digests of both directions. After an intended change of the
//! replies, `DIALOGUES=print` in the environment prints the new digests and errors and writes the full
//! dialogues to the directory for temporary files.

mod simulator;

use simulator::{mask_log_text, run_dialogue, Dialogue};
use std::fmt::Write as _;

const DIALOGUE_COUNT: u64 = 24;
/// A line per dialogue: its number, its counts of input and reply lines, and the hashes of input and replies.
const DIGESTS: &str = include_str!("../fixtures/dialogues.txt");
/// The dialogues that are recorded in full: number, input and replies.
const FULL_DIALOGUES: [(u64, &str, &str); 2] = [
    (0, include_str!("../fixtures/dialogue-0.in"), include_str!("../fixtures/dialogue-0.out")),
    (1, include_str!("../fixtures/dialogue-1.in"), include_str!("../fixtures/dialogue-1.out")),
];

/// Returns the 64-bit FNV-1a hash of a text.
fn fnv1a_hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Formats the line of [`DIGESTS`] for a dialogue.
fn digest_line(number: u64, dialogue: &Dialogue) -> String {
    let (input, output) = (&dialogue.input, &dialogue.output);
    let (input_lines, reply_lines) = (input.lines().count(), output.lines().count());
    format!("{number} {input_lines} {reply_lines} {:016x} {:016x}", fnv1a_hash(input), fnv1a_hash(output))
}

#[test]
fn generated_dialogues_match_the_recorded_digests() {
    let dialogues: Vec<Dialogue> = (0..DIALOGUE_COUNT).map(run_dialogue).collect();
    let lines: Vec<String> =
        (0..).zip(&dialogues).map(|(number, dialogue)| digest_line(number, dialogue)).collect();
    if std::env::var("DIALOGUES").is_ok_and(|value| value == "print") {
        println!("{}", lines.join("\n"));
        let directory = std::env::temp_dir();
        for (number, ..) in FULL_DIALOGUES {
            let dialogue = &dialogues[number as usize];
            std::fs::write(directory.join(format!("dialogue-{number}.in")), &dialogue.input)
                .expect("the input is written");
            std::fs::write(directory.join(format!("dialogue-{number}.out")), &dialogue.output)
                .expect("the replies are written");
        }
    }
    let recorded: Vec<&str> = DIGESTS.lines().filter(|line| !line.starts_with('#')).collect();
    assert_eq!(recorded.len(), lines.len(), "the fixture has a line for each dialogue");
    let mut differences = String::new();
    for (recorded, actual) in recorded.iter().zip(&lines) {
        if recorded != actual {
            let _ = writeln!(differences, "recorded {recorded}, actual {actual}");
        }
    }
    assert!(differences.is_empty(), "dialogues differ from the recorded digests:\n{differences}");
}

#[test]
fn full_dialogues_get_the_recorded_replies() {
    for (number, input, output) in FULL_DIALOGUES {
        let mut replies = Vec::new();
        ternstack_simulator_adapter::run(input.as_bytes(), &mut replies)
            .expect("the recorded input is valid");
        let replies = String::from_utf8(replies).expect("the replies are valid UTF-8");
        assert!(
            replies.ends_with("NEXT\n") && !replies.contains('\r'),
            "lines end in a newline without a carriage return"
        );
        let replies: String = replies.lines().map(|line| mask_log_text(line) + "\n").collect();
        assert_eq!(replies, output, "the replies in dialogue {number} match the recorded ones");
    }
}

#[test]
fn generated_dialogues_contain_every_keyword_of_the_protocol() {
    let dialogues: Vec<Dialogue> = (0..DIALOGUE_COUNT).map(run_dialogue).collect();
    let reply_keywords = [
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
    for keyword in reply_keywords {
        let found = dialogues
            .iter()
            .any(|dialogue| dialogue.output.lines().any(|line| line.split(' ').next() == Some(keyword)));
        assert!(found, "a reply contains a {keyword} line");
    }
    let input_keywords = [
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
    for keyword in input_keywords {
        let found = dialogues
            .iter()
            .any(|dialogue| dialogue.input.lines().any(|line| line.split(' ').next() == Some(keyword)));
        assert!(found, "the input contains a {keyword} line");
    }
}

/// Lines that follow the valid start of a gateway, each with the error message that is expected for it, or
/// "taken" if the line is valid. Lines after `ALONE` have no gateway, `;` separates lines, and `CONF` stands
/// for valid settings.
const INVALID_LINES: &str = include_str!("../fixtures/faulty-lines.txt");

#[test]
fn invalid_lines_are_rejected_with_the_recorded_errors() {
    let settings_field =
        r#"conf={"classes":[{"name":"read","deadline_ms":600.0}],"zones":["east"],"zone":"east"}"#;
    let mut results = String::new();
    for lines in INVALID_LINES.lines().filter(|line| !line.starts_with("  ")) {
        let lines = lines.replace("CONF", settings_field).replace("; ", "\n");
        let gateway_start = format!("ROUND sim_time_ms=10\nTO i=gateway-0\nINIT prng=1 {settings_field}\n");
        let text = match lines.strip_prefix("ALONE ") {
            Some(alone) => format!("{alone}\nFLUSH\n"),
            None => format!("{gateway_start}{lines}\nFLUSH\n"),
        };
        let result = match ternstack_simulator_adapter::run(text.as_bytes(), &mut Vec::new()) {
            Ok(()) => "taken".to_string(),
            Err(error) => error.to_string(),
        };
        let _ =
            writeln!(results, "{}\n  {result}", lines.replace(settings_field, "CONF").replace('\n', "; "));
    }
    if std::env::var("DIALOGUES").is_ok_and(|value| value == "print") {
        println!("{results}");
    }
    assert_eq!(results, INVALID_LINES);
}
