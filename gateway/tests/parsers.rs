//! The parsers on valid messages that are split at random places, and on random input. The seeds are fixed.

use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use ternstack_gateway::config::Config;
use ternstack_gateway::endpoint_list::EndpointList;
use ternstack_gateway::http1::{
    CompleteMessage, ParseError, Reader, RequestLine, StartLine, StatusLine, MAX_BODY_BYTES, MAX_HEAD_BYTES,
};

const REQUESTS: &str = "GET /api?desk=4 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: 9b1f\r\n\r\n\
    POST /api HTTP/1.1\r\nX-Correlation-Id: 77\r\nContent-Length: 11\r\n\r\nhello there\
    POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;a=b\r\n there\r\n0\r\nX-T: 1\r\n\r\n\
    GET /ready HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
const RESPONSES: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndesk\
    HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n\
    HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n4\r\ndesk\r\n0\r\n\r\n\
    HTTP/1.1 200 OK\r\n\r\nto the end";
const ENDPOINT_LIST: &str = r#"{"rev":41,"all":true,"novel":[1],"targets":[{"uid":"s-5b","endpoint":"10.1.0.18:9000",
    "az":"a","model":"m2","pod_group":3,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}]}"#;

/// Checks a property on 400 random inputs, which depend only on `seed`.
fn check_property<A: Arbitrary + std::fmt::Debug>(seed: u64, property: fn(A) -> bool) {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, seed)).tests(400).max_tests(400).quickcheck(property);
}

/// Returns all messages in `bytes`, and the error that ended the parsing, if any. The reader receives the
/// bytes in pieces of the sizes `piece_sizes`, and the rest in one piece.
fn read<S: StartLine>(bytes: &[u8], piece_sizes: &[u8]) -> (Vec<CompleteMessage<S>>, Result<(), ParseError>) {
    let mut reader = Reader::new(MAX_BODY_BYTES);
    let (mut messages, mut remaining) = (Vec::new(), bytes);
    let mut piece_sizes = piece_sizes.iter().map(|piece_size| usize::from(*piece_size).max(1));
    loop {
        let size = piece_sizes.next().unwrap_or(usize::MAX).min(remaining.len());
        reader.buffer().extend_from_slice(&remaining[..size]);
        remaining = &remaining[size..];
        loop {
            match reader.next(remaining.is_empty()) {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(error) => return (messages, Err(error)),
            }
        }
        if remaining.is_empty() {
            return (messages, Ok(()));
        }
    }
}

/// Returns the same as [`read`], without the positions in memory, so that two results can be compared.
fn read_comparable<S: StartLine>(
    bytes: &[u8], piece_sizes: &[u8],
) -> (Vec<ComparableMessage>, Result<(), ParseError>) {
    let (messages, result) = read::<S>(bytes, piece_sizes);
    let fields = |message: &CompleteMessage<S>| format!("{:?}", message.fields.iter().collect::<Vec<_>>());
    (
        messages.iter().map(|message| (fields(message), message.body.clone(), message.keep_alive)).collect(),
        result,
    )
}

/// The fields of a message, the body, and whether another message may follow on the connection.
type ComparableMessage = (String, Bytes, bool);

/// Returns `text` with some bytes replaced. Each position is taken modulo the length of `text`.
fn corrupted(text: &str, replacements: &[(usize, u8)]) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for (position, byte) in replacements {
        let position = position % bytes.len();
        bytes[position] = *byte;
    }
    bytes
}

#[test]
fn messages_parse_the_same_wherever_the_input_is_split() {
    let (requests, result) = read::<RequestLine>(REQUESTS.as_bytes(), &[]);
    assert_eq!((requests.len(), result), (4, Ok(())));
    assert_eq!((requests[0].method(), requests[0].target()), (&b"GET"[..], &b"/api?desk=4"[..]));
    assert_eq!(requests[2].body, "hello there");
    assert!(requests.iter().all(|request| request.keep_alive));
    let (responses, result) = read::<StatusLine>(RESPONSES.as_bytes(), &[]);
    assert_eq!((responses.len(), result), (4, Ok(())));
    let bodies: Vec<_> = responses
        .iter()
        .map(|response| (response.start_line.code, &response.body[..], response.keep_alive))
        .collect();
    let expected: [(u16, &[u8], bool); 4] =
        [(200, b"desk", true), (503, b"", false), (200, b"desk", true), (200, b"to the end", false)];
    assert_eq!(bodies, expected);
    check_property(1, |piece_sizes: Vec<u8>| {
        read_comparable::<RequestLine>(REQUESTS.as_bytes(), &piece_sizes)
            == read_comparable::<RequestLine>(REQUESTS.as_bytes(), &[])
    });
    check_property(2, |piece_sizes: Vec<u8>| {
        read_comparable::<StatusLine>(RESPONSES.as_bytes(), &piece_sizes)
            == read_comparable::<StatusLine>(RESPONSES.as_bytes(), &[])
    });
}

/// Returns whether another message may follow each message in `bytes`, and the error that ended the parsing, if
/// any. The first `read_count` messages are read and the others are skipped, the first of them after a part of it
/// may have been received.
fn skip_after(read_count: usize, bytes: &[u8], piece_sizes: &[u8]) -> (Vec<bool>, Result<(), ParseError>) {
    let mut reader = Reader::<RequestLine>::new(MAX_BODY_BYTES);
    let (mut messages, mut remaining) = (Vec::new(), bytes);
    let mut piece_sizes = piece_sizes.iter().map(|piece_size| usize::from(*piece_size).max(1));
    loop {
        let size = piece_sizes.next().unwrap_or(usize::MAX).min(remaining.len());
        reader.buffer().extend_from_slice(&remaining[..size]);
        remaining = &remaining[size..];
        loop {
            let parsed = if messages.len() < read_count {
                reader.next(false).map(|message| message.map(|message| message.keep_alive))
            } else {
                let skipped = reader.skip();
                reader.shrink();
                skipped
            };
            match parsed {
                Ok(Some(keep_alive)) => messages.push(keep_alive),
                Ok(None) => break,
                Err(error) => return (messages, Err(error)),
            }
        }
        if remaining.is_empty() {
            return (messages, Ok(()));
        }
    }
}

// Guards against skipped requests that are counted wrongly, so that later responses go to other requests.
#[test]
fn skipped_messages_are_framed_as_messages_that_are_read() {
    let framed = |bytes: &[u8]| {
        let (messages, result) = read::<RequestLine>(bytes, &[]);
        (messages.iter().map(|message| message.keep_alive).collect::<Vec<bool>>(), result)
    };
    assert_eq!(framed(REQUESTS.as_bytes()).0.len(), 4);
    for read_count in 0..4 {
        assert_eq!(skip_after(read_count, REQUESTS.as_bytes(), &[]), framed(REQUESTS.as_bytes()));
    }
    check_property(7, |piece_sizes: Vec<u8>| skip_after(1, REQUESTS.as_bytes(), &piece_sizes).0.len() == 4);
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 8)).tests(2000).quickcheck(
        (|read_count, replacements: Vec<(usize, u8)>, piece_sizes: Vec<u8>| {
            let bytes = corrupted(REQUESTS, &replacements[..replacements.len().min(3)]);
            let (messages, result) = read::<RequestLine>(&bytes, &piece_sizes);
            let expected: Vec<bool> = messages.iter().map(|message| message.keep_alive).collect();
            skip_after(read_count % 5, &bytes, &piece_sizes) == (expected, result)
        }) as fn(usize, Vec<(usize, u8)>, Vec<u8>) -> bool,
    );
}

#[test]
fn malformed_input_parses_the_same_wherever_it_is_split() {
    check_property(3, |(bytes, piece_sizes): (Vec<u8>, Vec<u8>)| {
        read_comparable::<RequestLine>(&bytes, &piece_sizes) == read_comparable::<RequestLine>(&bytes, &[])
    });
    check_property(4, |(replacements, piece_sizes): (Vec<(usize, u8)>, Vec<u8>)| {
        let bytes = corrupted(REQUESTS, &replacements[..replacements.len().min(3)]);
        read_comparable::<RequestLine>(&bytes, &piece_sizes) == read_comparable::<RequestLine>(&bytes, &[])
    });
    check_property(5, |(replacements, piece_sizes): (Vec<(usize, u8)>, Vec<u8>)| {
        let bytes = corrupted(RESPONSES, &replacements[..replacements.len().min(3)]);
        read_comparable::<StatusLine>(&bytes, &piece_sizes) == read_comparable::<StatusLine>(&bytes, &[])
    });
}

#[test]
fn invalid_endpoint_lists_and_configurations_are_rejected_without_a_panic() {
    let list = EndpointList::from_slice(ENDPOINT_LIST.as_bytes()).expect("the list is valid");
    assert_eq!((list.revision, list.is_complete, list.endpoints[0].cell), (41, true, 3));
    check_property(6, |(replacements, length): (Vec<(usize, u8)>, usize)| {
        let bytes = corrupted(ENDPOINT_LIST, &replacements[..replacements.len().min(3)]);
        let truncated_length = length % bytes.len();
        let config = Config::read(&String::from_utf8_lossy(&bytes), |_| None);
        let _ = EndpointList::from_slice(&bytes);
        EndpointList::from_slice(&bytes[..truncated_length]).is_err() && config.is_err()
    });
    for (old, new) in [
        ("SERVING", "NAPPING"),
        ("10.1.0.18:9000", "nowhere"),
        (r#""endpoint":"10.1.0.18:9000","#, ""),
        ("41", "-1"),
        (r#""boot_ms":0"#, r#""boot_ms":"soon""#),
    ] {
        let text = ENDPOINT_LIST.replace(old, new);
        assert_ne!(text, ENDPOINT_LIST);
        assert!(EndpointList::from_slice(text.as_bytes()).is_err(), "{new}");
    }
}

#[test]
fn malformed_lengths_and_excessive_sizes_give_different_errors() {
    let head = |fields: &str| format!("POST /api HTTP/1.1\r\n{fields}\r\n\r\n");
    let long_header = format!("X-Long: {}", "x".repeat(MAX_HEAD_BYTES));
    let many_headers = vec!["X-Many: 1"; 70].join("\r\n");
    let many_options = format!("Connection: {}", vec!["a"; 65].join(","));
    for (fields, error) in [
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
        (&long_header, ParseError::HeadTooLarge),
        (&many_headers, ParseError::HeadTooLarge),
        (&many_options, ParseError::HeadTooLarge),
    ] {
        let result = read::<RequestLine>(head(fields).as_bytes(), &[]);
        assert_eq!(result, (Vec::new(), Err(error)), "{}", &fields[..fields.len().min(60)]);
    }
    let interim_responses = "HTTP/1.1 100 Continue\r\n\r\n".repeat(17) + "HTTP/1.1 204 No\r\n\r\n";
    assert_eq!(
        read::<StatusLine>(interim_responses.as_bytes(), &[]),
        (Vec::new(), Err(ParseError::MalformedHead))
    );
    assert_eq!(read::<StatusLine>(&interim_responses.as_bytes()[25..], &[]).0.len(), 1);
    let largest_request = format!("{}{}", head("Content-Length: 65536"), "x".repeat(MAX_BODY_BYTES));
    assert_eq!(read::<RequestLine>(largest_request.as_bytes(), &[250; 300]).0[0].body.len(), MAX_BODY_BYTES);
}
