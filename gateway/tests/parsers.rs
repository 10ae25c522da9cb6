//! Random cuts of valid messages, and random garbage, against every parser. The seeds are fixed.

use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use ternstack_gateway::config::Config;
use ternstack_gateway::endpoint_list::EndpointList;
use ternstack_gateway::http1::{
    CompleteMessage, ParseError, Reader, RequestLine, StartLine, StatusLine, MAX_BODY_BYTES, MAX_HEAD_BYTES,
};

const ASKS: &str = "GET /api?desk=4 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: 9b1f\r\n\r\n\
    POST /api HTTP/1.1\r\nX-Correlation-Id: 77\r\nContent-Length: 11\r\n\r\nhello there\
    POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;a=b\r\n there\r\n0\r\nX-T: 1\r\n\r\n\
    GET /ready HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
const ANSWERS: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndesk\
    HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n\
    HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n4\r\ndesk\r\n0\r\n\r\n\
    HTTP/1.1 200 OK\r\n\r\nto the end";
const LIST: &str = r#"{"rev":41,"all":true,"novel":[1],"targets":[{"uid":"s-5b","endpoint":"10.1.0.18:9000",
    "az":"a","model":"m2","pod_group":3,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}]}"#;

fn check<A: Arbitrary + std::fmt::Debug>(seed: u64, property: fn(A) -> bool) {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, seed)).tests(400).max_tests(400).quickcheck(property);
}

/// All messages in the bytes, fed in pieces of the given sizes, and how it ended.
fn read<S: StartLine>(bytes: &[u8], cuts: &[u8]) -> (Vec<CompleteMessage<S>>, Result<(), ParseError>) {
    let mut reader = Reader::new(MAX_BODY_BYTES);
    let (mut messages, mut rest) = (Vec::new(), bytes);
    let mut cuts = cuts.iter().map(|cut| usize::from(*cut).max(1));
    loop {
        let size = cuts.next().unwrap_or(usize::MAX).min(rest.len());
        reader.buffer().extend_from_slice(&rest[..size]);
        rest = &rest[size..];
        loop {
            match reader.next(rest.is_empty()) {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(malformed) => return (messages, Err(malformed)),
            }
        }
        if rest.is_empty() {
            return (messages, Ok(()));
        }
    }
}

/// What a reader gives, without the place in memory that it stands in.
fn parsed<S: StartLine>(bytes: &[u8], cuts: &[u8]) -> (Vec<Parsed>, Result<(), ParseError>) {
    let (messages, end) = read::<S>(bytes, cuts);
    let fields = |m: &CompleteMessage<S>| format!("{:?}", m.fields.iter().collect::<Vec<_>>());
    (messages.iter().map(|m| (fields(m), m.body.clone(), m.keep_alive)).collect(), end)
}

/// Fields, body, and whether another message may follow.
type Parsed = (String, Bytes, bool);

fn spoilt(text: &str, spoils: &[(usize, u8)]) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for (at, byte) in spoils {
        let at = at % bytes.len();
        bytes[at] = *byte;
    }
    bytes
}

#[test]
fn messages_are_the_same_wherever_they_are_cut() {
    let (asks, end) = read::<RequestLine>(ASKS.as_bytes(), &[]);
    assert_eq!((asks.len(), end), (4, Ok(())));
    assert_eq!((asks[0].method(), asks[0].target()), (&b"GET"[..], &b"/api?desk=4"[..]));
    assert_eq!(asks[2].body, "hello there");
    assert!(asks.iter().all(|ask| ask.keep_alive));
    let (answers, end) = read::<StatusLine>(ANSWERS.as_bytes(), &[]);
    assert_eq!((answers.len(), end), (4, Ok(())));
    let bodies: Vec<_> = answers.iter().map(|a| (a.start_line.code, &a.body[..], a.keep_alive)).collect();
    let expected: [(u16, &[u8], bool); 4] =
        [(200, b"desk", true), (503, b"", false), (200, b"desk", true), (200, b"to the end", false)];
    assert_eq!(bodies, expected);
    check(1, |cuts: Vec<u8>| {
        parsed::<RequestLine>(ASKS.as_bytes(), &cuts) == parsed::<RequestLine>(ASKS.as_bytes(), &[])
    });
    check(2, |cuts: Vec<u8>| {
        parsed::<StatusLine>(ANSWERS.as_bytes(), &cuts) == parsed::<StatusLine>(ANSWERS.as_bytes(), &[])
    });
}

#[test]
fn malformed_messages_end_alike_wherever_they_are_cut() {
    check(3, |(bytes, cuts): (Vec<u8>, Vec<u8>)| {
        parsed::<RequestLine>(&bytes, &cuts) == parsed::<RequestLine>(&bytes, &[])
    });
    check(4, |(spoils, cuts): (Vec<(usize, u8)>, Vec<u8>)| {
        let bytes = spoilt(ASKS, &spoils[..spoils.len().min(3)]);
        parsed::<RequestLine>(&bytes, &cuts) == parsed::<RequestLine>(&bytes, &[])
    });
    check(5, |(spoils, cuts): (Vec<(usize, u8)>, Vec<u8>)| {
        let bytes = spoilt(ANSWERS, &spoils[..spoils.len().min(3)]);
        parsed::<StatusLine>(&bytes, &cuts) == parsed::<StatusLine>(&bytes, &[])
    });
}

#[test]
fn lists_and_configurations_survive_garbage() {
    let list = EndpointList::from_slice(LIST.as_bytes()).expect("a valid list");
    assert_eq!((list.revision, list.is_complete, list.endpoints[0].cell), (41, true, 3));
    check(6, |(spoils, end): (Vec<(usize, u8)>, usize)| {
        let bytes = spoilt(LIST, &spoils[..spoils.len().min(3)]);
        let cut = end % bytes.len();
        let config = Config::read(&String::from_utf8_lossy(&bytes), |_| None);
        let _ = EndpointList::from_slice(&bytes);
        EndpointList::from_slice(&bytes[..cut]).is_err() && config.is_err()
    });
    for (old, new) in [
        ("SERVING", "NAPPING"),
        ("10.1.0.18:9000", "nowhere"),
        (r#""endpoint":"10.1.0.18:9000","#, ""),
        ("41", "-1"),
        (r#""boot_ms":0"#, r#""boot_ms":"soon""#),
    ] {
        let text = LIST.replace(old, new);
        assert_ne!(text, LIST);
        assert!(EndpointList::from_slice(text.as_bytes()).is_err(), "{new}");
    }
}

#[test]
fn bad_lengths_and_excessive_sizes_are_distinguished() {
    let head = |fields: &str| format!("POST /api HTTP/1.1\r\n{fields}\r\n\r\n");
    let long = format!("X-Long: {}", "x".repeat(MAX_HEAD_BYTES));
    let many = vec!["X-Many: 1"; 70].join("\r\n");
    for (fields, malformed) in [
        ("Content-Length: -1", ParseError::InvalidLength),
        ("Content-Length: +1", ParseError::InvalidLength),
        ("Content-Length: 1, 1", ParseError::InvalidLength),
        ("Content-Length: 1\r\nContent-Length: 2", ParseError::InvalidLength),
        ("Content-Length: 1\r\nTransfer-Encoding: chunked", ParseError::InvalidLength),
        ("Transfer-Encoding: gzip, chunked", ParseError::InvalidLength),
        ("Transfer-Encoding: chunked\r\n\r\nzz", ParseError::InvalidLength),
        ("Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff", ParseError::BodyTooLarge),
        ("Content-Length: 65537", ParseError::BodyTooLarge),
        ("Content-Length: 99999999999999999999999", ParseError::BodyTooLarge),
        ("No colon", ParseError::MalformedHead),
        (&long, ParseError::HeadTooLarge),
        (&many, ParseError::HeadTooLarge),
    ] {
        let end = read::<RequestLine>(head(fields).as_bytes(), &[]);
        assert_eq!(end, (Vec::new(), Err(malformed)), "{}", &fields[..fields.len().min(60)]);
    }
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(17) + "HTTP/1.1 204 No\r\n\r\n";
    assert_eq!(read::<StatusLine>(interim.as_bytes(), &[]), (Vec::new(), Err(ParseError::MalformedHead)));
    assert_eq!(read::<StatusLine>(&interim.as_bytes()[25..], &[]).0.len(), 1);
    let whole = format!("{}{}", head("Content-Length: 65536"), "x".repeat(MAX_BODY_BYTES));
    assert_eq!(read::<RequestLine>(whole.as_bytes(), &[250; 300]).0[0].body.len(), MAX_BODY_BYTES);
}
