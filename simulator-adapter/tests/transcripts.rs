//! Runs short hand-written transcripts of the simulator's lines through the adapter.

use ternstack_simulator_adapter::run;

/// The settings field of a line that starts a gateway. Some of the keys are unknown and must be ignored.
const SETTINGS_FIELD: &str = concat!(
    r#"conf={"classes":[{"name":"read","effect":"safe","aim_ms":200.0,"deadline_ms":600.0,"novel":1}],"#,
    r#""instances":2,"zone":"east","zones":["east"],"tenants":[{"name":"acme","quota_per_s":5.0}],"#,
    r#""report":{"how":"inline","fields":["utilization"]},"limits":{"max_attempts":3},"unheard_of":{"x":[1]}}"#
);

/// Returns the adapter's replies to the transcript, or the message of the error that stopped the adapter.
fn run_transcript(text: &str) -> Result<String, String> {
    let mut replies = Vec::new();
    run(text.as_bytes(), &mut replies).map_err(|error| error.to_string())?;
    Ok(String::from_utf8(replies).expect("the replies are valid UTF-8"))
}

/// Returns the lines that start a gateway with two endpoints.
fn start_gateway_lines(gateway: &str, seed: u64) -> String {
    format!(
        "TO i={gateway}\nINIT prng={seed} {SETTINGS_FIELD}\nTOPOLOGY serial=1 mode=warm_copy hosts=2\n\
         M host=a:1 area=east bay=0 readiness=active heft=1\nM host=b:1 area=east bay=0 readiness=active\n"
    )
}

/// Returns the lines for the arrival of a request at a gateway. The field `shoe_size` is unknown and must be
/// ignored.
fn request_lines(gateway: &str, id: &str) -> String {
    format!("TO i={gateway}\nACCEPT id={id} cls=read project=acme patience_left_ms=500.0 shoe_size=44\n")
}

#[test]
fn run_replies_to_an_empty_batch_and_accepts_the_end_of_input() {
    assert_eq!(run_transcript("ROUND sim_time_ms=1.5\nFLUSH\n").as_deref(), Ok("NEXT\n"));
    assert_eq!(run_transcript("").as_deref(), Ok(""));
}

#[test]
fn request_is_sent_to_a_listed_endpoint_by_the_gateway_that_received_it() {
    let text = format!(
        "ROUND sim_time_ms=10\n{}{}FLUSH\n",
        start_gateway_lines("gateway-3", 1),
        request_lines("gateway-3", "r-x")
    );
    let replies = run_transcript(&text).expect("the transcript is valid");
    assert!(
        replies.starts_with("FOR i=gateway-3\nRELAY id=r-x host="),
        "gateway-3 sends the request: {replies}"
    );
    assert!(replies.ends_with("NEXT\n"), "the reply ends with NEXT: {replies}");
}

#[test]
fn lines_with_an_unknown_keyword_are_skipped() {
    let text =
        format!("ROUND sim_time_ms=10\n{}OMEN of=change\nFLUSH\n", start_gateway_lines("gateway-0", 1));
    assert_eq!(run_transcript(&text).as_deref(), Ok("NEXT\n"));
}

#[test]
fn removed_gateway_starts_again_under_the_same_name() {
    let text = format!(
        "ROUND sim_time_ms=10\n{}RETIRE\n{}{}FLUSH\n",
        start_gateway_lines("gateway-0", 1),
        start_gateway_lines("gateway-0", 2),
        request_lines("gateway-0", "r-y")
    );
    assert!(run_transcript(&text).expect("the transcript is valid").contains("RELAY id=r-y"));
}

#[test]
fn invalid_line_error_names_the_line_and_the_field() {
    let valid_lines = format!("ROUND sim_time_ms=10\n{}", start_gateway_lines("gateway-0", 1));
    for (line, expected) in [
        ("ACCEPT id=r-z cls=read", "line 7: ACCEPT: patience_left_ms is missing"),
        ("ACCEPT id=r-z cls=read patience_left_ms=soon", "patience_left_ms=soon is not a valid number"),
        ("ACCEPT id=r-z cls=read patience_left_ms=NaN", "patience_left_ms=NaN is not a finite number"),
        ("ACCEPT id=r-z cls=write patience_left_ms=1", "cls=write is not a class of the settings"),
        ("ACCEPT id", "ACCEPT: id is not a name=value field"),
        ("BELL ref=-1", "ref=-1 is not a valid number"),
        (
            "ATTEMPT_END id=r-z try=0 host=a:1 state_code=eaten latency_ms=1",
            "state_code=eaten is not a known value",
        ),
        (
            "TOPOLOGY serial=2 mode=incr hosts=1\nFLUSH",
            "line 8: expected another M line for the last TOPOLOGY line",
        ),
        ("M host=a:1 readiness=active", "M line is not announced by a TOPOLOGY line"),
        ("ROUND", "sim_time_ms is missing"),
        ("TO i=gateway-9\nBELL ref=1", "BELL: expected an INIT line for gateway-9 first"),
    ] {
        let error = run_transcript(&format!("{valid_lines}{line}\nFLUSH\n")).expect_err(line);
        assert!(error.contains(expected), "{line}: expected {expected:?} in {error:?}");
    }
    assert!(run_transcript("FLUSH\n").is_err());
}

#[test]
fn invalid_settings_error_names_the_key() {
    for (settings_field, expected) in [
        ("", "conf is missing"),
        ("conf={", "conf is not valid JSON"),
        ("conf={\"classes\":[{\"name\":\"x\"}]}", "classes[].deadline_ms is missing"),
        ("conf={\"classes\":7}", "classes must be a list"),
        ("conf={}", "setting classes: at least one is needed"),
        ("conf={\"result_mix\":{\"nines\":\"much\"}}", "result_mix.nines must be a number"),
        ("conf={\"result_mix\":{\"top_nines\":true}}", "result_mix.top_nines must be a number"),
        ("conf={\"safety\":{\"removal_not_binding\":1}}", "safety.removal_not_binding must be true or false"),
    ] {
        let text = format!("ROUND sim_time_ms=1\nTO i=gateway-0\nINIT prng=1 {settings_field}\nFLUSH\n");
        let error = run_transcript(&text).expect_err(settings_field);
        assert!(error.contains(expected), "{settings_field}: expected {expected:?} in {error:?}");
    }
}

#[test]
fn gateways_in_one_process_act_as_they_do_alone() {
    let run_batches = |gateways: &[(&str, u64)]| {
        let mut text = String::new();
        for batch in 0..40 {
            text += &format!("ROUND sim_time_ms={}\n", 10 + 5 * batch);
            for (name, seed) in gateways {
                if batch == 0 {
                    text += &start_gateway_lines(name, *seed);
                }
                text += &request_lines(name, &format!("r-{name}-{batch}"));
            }
            text += "FLUSH\n";
        }
        run_transcript(&text).expect("the transcript is valid")
    };
    let lines_of = |replies: &str, name: &str| {
        let mut selected = false;
        let mut lines = Vec::new();
        for line in replies.lines() {
            if let Some(gateway) = line.strip_prefix("FOR i=") {
                selected = gateway == name;
            } else if selected && line != "NEXT" {
                lines.push(line.to_string());
            }
        }
        lines
    };
    let combined = run_batches(&[("gateway-0", 5), ("gateway-1", 6)]);
    for (name, seed) in [("gateway-0", 5), ("gateway-1", 6)] {
        assert_eq!(lines_of(&combined, name), lines_of(&run_batches(&[(name, seed)]), name));
    }
    assert!(lines_of(&combined, "gateway-0").iter().any(|line| line.starts_with("RELAY")));
}
