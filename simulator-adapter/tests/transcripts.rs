//! Transcripts written for this project, played through the adapter.

use ternstack_simulator_adapter::run;

const CONF: &str = concat!(
    r#"conf={"classes":[{"name":"read","effect":"safe","aim_ms":200.0,"deadline_ms":600.0,"novel":1}],"#,
    r#""instances":2,"zone":"east","zones":["east"],"tenants":[{"name":"acme","quota_per_s":5.0}],"#,
    r#""report":{"how":"inline","fields":["utilization"]},"limits":{"max_attempts":3},"unheard_of":{"x":[1]}}"#
);

fn play(text: &str) -> Result<String, String> {
    let mut out = Vec::new();
    run(text.as_bytes(), &mut out).map_err(|error| error.to_string())?;
    Ok(String::from_utf8(out).expect("UTF-8"))
}

fn start(instance: &str, seed: u64) -> String {
    format!(
        "TO i={instance}\nINIT prng={seed} {CONF}\nTOPOLOGY serial=1 mode=warm_copy hosts=2\n\
         M host=a:1 area=east bay=0 readiness=active heft=1\nM host=b:1 area=east bay=0 readiness=active\n"
    )
}

fn accept(instance: &str, id: &str) -> String {
    format!("TO i={instance}\nACCEPT id={id} cls=read project=acme patience_left_ms=500.0 shoe_size=44\n")
}

#[test]
fn an_empty_batch_is_answered_and_the_end_of_input_is_no_error() {
    assert_eq!(play("ROUND sim_time_ms=1.5\nFLUSH\n").as_deref(), Ok("NEXT\n"));
    assert_eq!(play("").as_deref(), Ok(""));
}

#[test]
fn a_request_is_sent_to_a_listed_host_for_the_instance_that_took_it() {
    let text =
        format!("ROUND sim_time_ms=10\n{}{}FLUSH\n", start("gateway-3", 1), accept("gateway-3", "r-x"));
    let out = play(&text).expect("legal");
    assert!(out.starts_with("FOR i=gateway-3\nRELAY id=r-x host="), "{out}");
    assert!(out.ends_with("NEXT\n"), "{out}");
}

#[test]
fn unknown_messages_are_skipped() {
    let text = format!("ROUND sim_time_ms=10\n{}OMEN of=change\nFLUSH\n", start("gateway-0", 1));
    assert_eq!(play(&text).as_deref(), Ok("NEXT\n"));
}

#[test]
fn an_instance_that_died_starts_anew_under_its_number() {
    let text = format!(
        "ROUND sim_time_ms=10\n{}RETIRE\n{}{}FLUSH\n",
        start("gateway-0", 1),
        start("gateway-0", 2),
        accept("gateway-0", "r-y")
    );
    assert!(play(&text).expect("legal").contains("RELAY id=r-y"));
}

#[test]
fn malformed_lines_are_named_with_their_field() {
    let begin = format!("ROUND sim_time_ms=10\n{}", start("gateway-0", 1));
    for (line, wanted) in [
        ("ACCEPT id=r-z cls=read", "line 7: ACCEPT: patience_left_ms is missing"),
        ("ACCEPT id=r-z cls=read patience_left_ms=soon", "patience_left_ms=soon cannot be read as a number"),
        ("ACCEPT id=r-z cls=read patience_left_ms=NaN", "patience_left_ms=NaN is no finite number"),
        ("ACCEPT id=r-z cls=write patience_left_ms=1", "cls=write is not in the settings"),
        ("ACCEPT id", "ACCEPT: id is no name=value part"),
        ("BELL ref=-1", "ref=-1 cannot be read"),
        ("ATTEMPT_END id=r-z try=0 host=a:1 state_code=eaten latency_ms=1", "state_code=eaten is not known"),
        ("TOPOLOGY serial=2 mode=incr hosts=1\nFLUSH", "line 8: a list entry is missing before this line"),
        ("M host=a:1 readiness=active", "M outside a list"),
        ("ROUND", "sim_time_ms is missing"),
        ("TO i=gateway-9\nBELL ref=1", "BELL for gateway-9 before its INIT"),
    ] {
        let problem = play(&format!("{begin}{line}\nFLUSH\n")).expect_err(line);
        assert!(problem.contains(wanted), "{line}: {problem}");
    }
    assert!(play("FLUSH\n").is_err());
}

#[test]
fn unreadable_settings_are_named() {
    for (conf, wanted) in [
        ("", "conf is missing"),
        ("conf={", "conf is not readable JSON"),
        ("conf={\"classes\":[{\"name\":\"x\"}]}", "classes[].deadline_ms is missing"),
        ("conf={\"classes\":7}", "classes must be a list"),
        ("conf={}", "setting classes: at least one is needed"),
        ("conf={\"result_mix\":{\"nines\":\"much\"}}", "result_mix.nines must be a number"),
        ("conf={\"result_mix\":{\"top_nines\":true}}", "result_mix.top_nines must be a number"),
        ("conf={\"safety\":{\"removal_not_binding\":1}}", "safety.removal_not_binding must be true or false"),
    ] {
        let text = format!("ROUND sim_time_ms=1\nTO i=gateway-0\nINIT prng=1 {conf}\nFLUSH\n");
        let problem = play(&text).expect_err(conf);
        assert!(problem.contains(wanted), "{conf}: {problem}");
    }
}

#[test]
fn instances_side_by_side_act_as_they_do_alone() {
    let batches = |instances: &[(&str, u64)]| {
        let mut text = String::new();
        for n in 0..40 {
            text += &format!("ROUND sim_time_ms={}\n", 10 + 5 * n);
            for (name, seed) in instances {
                if n == 0 {
                    text += &start(name, *seed);
                }
                text += &accept(name, &format!("r-{name}-{n}"));
            }
            text += "FLUSH\n";
        }
        play(&text).expect("legal")
    };
    let of = |out: &str, name: &str| {
        let mut mine = false;
        let mut lines = Vec::new();
        for line in out.lines() {
            if let Some(who) = line.strip_prefix("FOR i=") {
                mine = who == name;
            } else if mine && line != "NEXT" {
                lines.push(line.to_string());
            }
        }
        lines
    };
    let both = batches(&[("gateway-0", 5), ("gateway-1", 6)]);
    for (name, seed) in [("gateway-0", 5), ("gateway-1", 6)] {
        assert_eq!(of(&both, name), of(&batches(&[(name, seed)]), name));
    }
    assert!(of(&both, "gateway-0").iter().any(|line| line.starts_with("RELAY")));
}
