//! Seeded random input for the readers of heads and chunked bodies: whole, mutated and cut at any place.
//!
//! `READER_FUZZ_CASES` sets the number of inputs of each test.

mod support;

use bytes::BytesMut;
use lagoonshore_relay::http1::{
    body::{BodyError, BodyFraming, BodyReader},
    credentials::CredentialsUse,
    head::{self, HeadError},
};
use lagoonshore_transport::{
    body_memory::BodyMemory, memory_budget::MemoryBudget, memory_report::MemoryHolder,
};
use proptest::{
    prelude::*,
    sample::Index,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::{
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
};
use support::SCHEME;

/// Inputs of each test, unless the environment says otherwise.
const CASES_DEFAULT: u32 = 2000;
/// Seed of the inputs.
const SEED: [u8; 32] = [33; 32];
/// Limits of the readers, in bytes.
const HEAD_BYTES_MAX: usize = 512;
const BODY_BYTES_MAX: usize = 16 * 1024;
/// Memory of messages, of which a body takes its limit at most.
const BUDGET_BYTES: usize = 1024 * 1024;
const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// A change of one byte, or of a part, at a random place.
#[derive(Clone, Debug)]
enum Mutation {
    Replace(Index, u8),
    Remove(Index, u8),
    Insert(Index, Vec<u8>),
}

/// Input with the places at which it is cut.
#[derive(Clone, Debug)]
struct CutInput {
    bytes: Vec<u8>,
    cuts: Vec<Index>,
}

impl CutInput {
    /// The parts in which the input arrives.
    fn parts(&self) -> Vec<&[u8]> {
        let mut places: Vec<usize> = self
            .cuts
            .iter()
            .map(|cut| cut.index(self.bytes.len() + 1))
            .collect();
        places.extend([0, self.bytes.len()]);
        places.sort_unstable();
        let pairs = places.windows(2);
        pairs.map(|pair| &self.bytes[pair[0]..pair[1]]).collect()
    }
}

fn cases() -> u32 {
    let cases = std::env::var("READER_FUZZ_CASES").ok();
    cases
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(CASES_DEFAULT)
}

fn run<S: Strategy>(inputs: &S, check: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config {
        cases: cases(),
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, random);
    if let Err(failure) = runner.run(inputs, check) {
        panic!("{failure}");
    }
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let piece = prop_oneof![
        Just(b"\r\n".to_vec()),
        Just(b"0\r\n\r\n".to_vec()),
        Just(b"ffffffffffffffff\r\n".to_vec()),
        Just(b"Content-Length: 5\r\n".to_vec()),
        Just(b"Transfer-Encoding: chunked\r\n".to_vec()),
        prop::collection::vec(any::<u8>(), 1..40),
    ];
    prop_oneof![
        (any::<Index>(), any::<u8>()).prop_map(|(at, byte)| Mutation::Replace(at, byte)),
        (any::<Index>(), 1..20_u8).prop_map(|(at, count)| Mutation::Remove(at, count)),
        (any::<Index>(), piece).prop_map(|(at, piece)| Mutation::Insert(at, piece)),
    ]
}

fn mutate(mut bytes: Vec<u8>, mutations: &[Mutation]) -> Vec<u8> {
    for mutation in mutations {
        match mutation {
            Mutation::Replace(at, byte) if !bytes.is_empty() => {
                let at = at.index(bytes.len());
                bytes[at] = *byte;
            }
            Mutation::Replace(..) => {}
            Mutation::Remove(at, count) => {
                let at = at.index(bytes.len() + 1);
                let end = (at + usize::from(*count)).min(bytes.len());
                bytes.drain(at..end);
            }
            Mutation::Insert(at, piece) => {
                let at = at.index(bytes.len() + 1);
                bytes.splice(at..at, piece.iter().copied());
            }
        }
    }
    bytes
}

fn cut_input(bytes: impl Strategy<Value = Vec<u8>>) -> impl Strategy<Value = CutInput> {
    let mutations = prop::collection::vec(mutation(), 0..4);
    let cuts = prop::collection::vec(any::<Index>(), 0..12);
    (bytes, mutations, cuts).prop_map(|(bytes, mutations, cuts)| CutInput {
        bytes: mutate(bytes, &mutations),
        cuts,
    })
}

/// A chunked body, followed by bytes of the next request.
fn chunked_body() -> impl Strategy<Value = Vec<u8>> {
    let chunk = prop_oneof![
        4 => prop::collection::vec(any::<u8>(), 1..4),
        1 => prop::collection::vec(any::<u8>(), 4..2000),
    ];
    let extension = prop_oneof![Just(""), Just(";name=value"), Just(" ")];
    let chunks = prop::collection::vec((chunk, extension), 0..40);
    let trailer = prop_oneof![Just(""), Just("a: b\r\n"), Just("a: b\r\nc: d\r\n")];
    (chunks, trailer).prop_map(|(chunks, trailer)| {
        let mut body = Vec::new();
        for (data, extension) in chunks {
            body.extend(format!("{:x}{extension}\r\n", data.len()).bytes());
            body.extend(data);
            body.extend(b"\r\n");
        }
        body.extend(format!("0\r\n{trailer}\r\nGET / HTTP/1.1\r\n").bytes());
        body
    })
}

fn request_head() -> impl Strategy<Value = Vec<u8>> {
    let field = prop_oneof![
        Just("Host: h".to_owned()),
        Just("Request-Id: i1".to_owned()),
        Just("Time-Limit-Ms: 500".to_owned()),
        Just("Content-Length: 4".to_owned()),
        Just("Transfer-Encoding: chunked".to_owned()),
        Just("Connection: close, x-y".to_owned()),
        Just("Expect: 100-continue".to_owned()),
        "[a-z-]{1,12}: [ -~]{0,60}",
    ];
    let fields = prop::collection::vec(field, 0..12);
    let line = prop_oneof![Just("GET /a/b?c=d HTTP/1.1"), Just("POST /a/ HTTP/1.0")];
    (line, fields).prop_map(|(line, fields)| {
        let lines = std::iter::once(line).chain(fields.iter().map(String::as_str));
        let ended = lines.flat_map(|line| [line, "\r\n"]);
        ended.chain(["\r\n"]).flat_map(str::bytes).collect()
    })
}

/// A body and what follows it.
#[derive(Debug, PartialEq, Eq)]
struct ReadBody {
    body: Vec<u8>,
    rest: Vec<u8>,
}

/// Reads a body part by part; `None` while it is incomplete.
fn read_body(parts: &[&[u8]], budget: &MemoryBudget) -> Result<Option<ReadBody>, BodyError> {
    let share = budget.request_share().held_by(MemoryHolder::Caller(CALLER));
    let memory = BodyMemory::arriving(share, CALLER, Arc::default());
    let mut reader = BodyReader::new(BodyFraming::Chunked, BODY_BYTES_MAX)?.with_memory(memory)?;
    let mut buffer = BytesMut::new();
    let mut is_complete = false;
    for part in parts {
        buffer.extend_from_slice(part);
        if !is_complete {
            is_complete = reader.read_from(&mut buffer)?;
        }
        assert!(reader.len() <= BODY_BYTES_MAX);
        assert!(budget.free() >= BUDGET_BYTES - BODY_BYTES_MAX);
    }
    Ok(is_complete.then(|| ReadBody {
        body: reader.finish().to_vec(),
        rest: buffer.to_vec(),
    }))
}

#[tokio::test]
async fn chunks_are_read_alike_however_they_arrive() {
    run(&cut_input(chunked_body()), |input| {
        let budget = MemoryBudget::new(BUDGET_BYTES);
        let whole = read_body(&[&input.bytes], &budget);
        let in_parts = read_body(&input.parts(), &budget);
        if whole != in_parts {
            // What arrives before an error may be judged before it.
            prop_assert!(whole.is_err() && in_parts.is_err());
        }
        prop_assert_eq!(budget.free(), BUDGET_BYTES);
        Ok(())
    });
}

#[tokio::test]
async fn heads_are_read_alike_however_they_arrive() {
    run(&cut_input(request_head()), |input| {
        let mut whole = BytesMut::from(&input.bytes[..]);
        let parsed_whole = head::parse_request(
            &mut whole,
            HEAD_BYTES_MAX,
            &SCHEME,
            CredentialsUse::Upstream,
        );
        let mut buffer = BytesMut::new();
        let mut parsed = Ok(None);
        for part in input.parts() {
            buffer.extend_from_slice(part);
            if matches!(parsed, Ok(None)) {
                parsed = head::parse_request(
                    &mut buffer,
                    HEAD_BYTES_MAX,
                    &SCHEME,
                    CredentialsUse::Upstream,
                );
            }
            prop_assert!(!matches!(parsed, Ok(None)) || buffer.len() <= HEAD_BYTES_MAX);
        }
        prop_assert_eq!(parsed.is_err(), parsed_whole.is_err());
        if let (Ok(Some(head)), Ok(Some(head_whole))) = (&parsed, &parsed_whole) {
            prop_assert_eq!(format!("{head:?}"), format!("{head_whole:?}"));
            prop_assert_eq!(buffer, whole);
        }
        Ok(())
    });
}

#[tokio::test]
async fn noise_is_refused_or_waited_for_within_the_limit() {
    let noise = prop::collection::vec(any::<u8>(), 0..2000);
    run(&noise, |bytes| {
        let budget = MemoryBudget::new(BUDGET_BYTES);
        let _ = read_body(&[&bytes], &budget);
        prop_assert_eq!(budget.free(), BUDGET_BYTES);
        let mut buffer = BytesMut::from(&bytes[..]);
        let parsed = head::parse_request(
            &mut buffer,
            HEAD_BYTES_MAX,
            &SCHEME,
            CredentialsUse::Upstream,
        );
        let is_waiting = matches!(parsed, Ok(None));
        prop_assert!(!is_waiting || bytes.len() <= HEAD_BYTES_MAX);
        let is_too_large = matches!(parsed, Err(HeadError::TooLarge));
        prop_assert!(!is_too_large || bytes.len() > HEAD_BYTES_MAX);
        Ok(())
    });
}
