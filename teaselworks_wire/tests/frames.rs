//! Frames survive the way there; whatever else arrives is refused without a panic.

use bytes::Bytes;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use teaselworks_policy::name::AttemptId;
use teaselworks_policy::placement::{Claim, PrefixBlock};
use teaselworks_policy::verdict::{Priority, Refusal, RefusalReason, Verdict};
use teaselworks_wire::codec::{self, CodecError};
use teaselworks_wire::frame::{CallKey, Frame, OVERHEAD_SIZE_BYTES, StreamKey};
use teaselworks_wire::message::{
    CallTarget, ChatTarget, Header, LoadSample, Open, Purpose, Reply, ReplyData, ReplyFinish,
    ReplyHead, ReplyRefusal, Target, TokenUse,
};

fn bytes() -> impl Strategy<Value = Bytes> {
    vec(any::<u8>(), 0..600).prop_map(Bytes::from)
}

fn headers() -> impl Strategy<Value = Vec<Header>> {
    vec(("[a-z-]{1,9}", ".{0,9}").prop_map(|(name, value)| Header { name, value }), 0..3)
}

fn attempt() -> impl Strategy<Value = AttemptId> {
    ("[a-z]{1,8}", any::<u64>(), any::<u64>(), any::<u32>()).prop_map(
        |(router, incarnation, sequence, attempt)| AttemptId {
            router: router.into(),
            incarnation,
            sequence,
            attempt,
        },
    )
}

fn prefix() -> impl Strategy<Value = Vec<PrefixBlock>> {
    vec((any::<u64>(), any::<u32>()).prop_map(|(hash, tokens)| PrefixBlock { hash, tokens }), 0..9)
}

fn target() -> impl Strategy<Value = Target> {
    let chat = (".{0,9}", option::of(".{0,9}"), prefix(), any::<u32>()).prop_map(
        |(model, adapter, prefix, tokens)| {
            Target::Chat(ChatTarget {
                model: model.into(),
                adapter: adapter.map(Into::into),
                prefix,
                prompt_tokens: tokens,
                output_tokens: tokens / 2,
                stream: tokens % 2 == 0,
                resume_tokens: tokens % 7,
            })
        },
    );
    let call = (headers(), option::of(".{0,9}")).prop_map(|(headers, idempotency_key)| {
        Target::Call(CallTarget {
            service: "stock".into(),
            method: "PUT".into(),
            path: "/a?b".into(),
            headers,
            idempotency_key,
        })
    });
    prop_oneof![chat, call]
}

fn claim() -> impl Strategy<Value = Claim> {
    prop_oneof![Just(Claim::Holder), Just(Claim::IfHeld), Just(Claim::Fresh), Just(Claim::Last)]
}

fn verdict() -> impl Strategy<Value = Verdict> {
    prop_oneof![Just(Verdict::NotRun), Just(Verdict::MayHaveRun), Just(Verdict::Ran)]
}

fn open() -> impl Strategy<Value = Open> {
    (attempt(), target(), any::<u64>(), 0..3_usize, claim()).prop_map(
        |(attempt, target, number, priority, claim)| Open {
            attempt,
            replica: "engine-1".into(),
            claim,
            refused_mean_tokens: number / 5,
            workspace: "choir".into(),
            priority: Priority::ALL[priority],
            deadline_ms: number,
            configuration_version: number / 3,
            target,
        },
    )
}

fn load() -> impl Strategy<Value = LoadSample> {
    // The estimates travel in single precision.
    let estimate = || (0.0..1e12_f32).prop_map(f64::from);
    (any::<u64>(), estimate(), estimate()).prop_map(|(load_tokens, mean_tokens, mean_weight)| {
        LoadSample { load_tokens, mean_tokens, mean_weight }
    })
}

fn tokens() -> impl Strategy<Value = Option<TokenUse>> {
    option::of((any::<u64>(), any::<u64>()).prop_map(|(prompt_tokens, output_tokens)| TokenUse {
        prompt_tokens,
        cached_tokens: prompt_tokens / 2,
        output_tokens,
    }))
}

fn reason() -> impl Strategy<Value = RefusalReason> {
    (0..RefusalReason::ALL.len()).prop_map(|reason| RefusalReason::ALL[reason])
}

fn reply() -> impl Strategy<Value = Reply> {
    prop_oneof![
        (any::<u16>(), headers()).prop_map(|(status, headers)| Reply::Head(ReplyHead {
            status,
            headers,
            replica: "engine-1".into()
        })),
        (any::<u64>(), any::<u64>(), any::<bool>(), bytes()).prop_map(
            |(offset_bytes, output_tokens, more, bytes)| {
                Reply::Data(ReplyData { offset_bytes, output_tokens, more, bytes })
            }
        ),
        (any::<u64>(), tokens(), load()).prop_map(|(size_bytes, tokens, load)| {
            Reply::Finish(ReplyFinish { size_bytes, tokens, load })
        }),
        (reason(), verdict(), option::of(any::<u64>()), ".{0,30}", tokens(), load()).prop_map(
            |(reason, verdict, retry_after_ms, detail, tokens, load)| {
                let refusal = Refusal { reason, verdict, retry_after_ms, detail };
                Reply::Refusal(ReplyRefusal { refusal, tokens, load })
            }
        ),
    ]
}

fn stream_key() -> impl Strategy<Value = StreamKey> {
    (any::<u32>(), any::<u64>()).prop_map(|(stream, tag)| StreamKey { stream, tag })
}

fn call_key() -> impl Strategy<Value = CallKey> {
    let purpose = 0..Purpose::ALL.len();
    (any::<u32>(), purpose)
        .prop_map(|(call, purpose)| CallKey { call, purpose: Purpose::ALL[purpose] })
}

fn frame() -> impl Strategy<Value = Frame> {
    prop_oneof![
        (stream_key(), any::<u32>(), open()).prop_map(|(key, window_bytes, open)| Frame::Open {
            key,
            window_bytes,
            open
        }),
        (stream_key(), bytes()).prop_map(|(key, bytes)| Frame::Body { key, bytes }),
        stream_key().prop_map(Frame::BodyEnd),
        stream_key().prop_map(Frame::Cancel),
        (stream_key(), reply()).prop_map(|(key, reply)| Frame::Reply { key, reply }),
        stream_key().prop_map(Frame::Abort),
        (stream_key(), any::<u32>()).prop_map(|(key, bytes)| Frame::Credit { key, bytes }),
        (call_key(), any::<bool>(), bytes()).prop_map(|(key, last, bytes)| Frame::Call {
            key,
            last,
            bytes
        }),
        (call_key(), any::<bool>(), bytes()).prop_map(|(key, last, bytes)| Frame::Answer {
            key,
            last,
            bytes
        }),
        (call_key(), any::<bool>()).prop_map(|(key, unread)| Frame::Decline { key, unread }),
        call_key().prop_map(Frame::Withdraw),
        Just(Frame::Closing),
    ]
}

/// Takes frames until the input ends or is refused.
fn take_all(mut input: &[u8]) -> (Vec<Frame>, Option<CodecError>) {
    let mut frames = Vec::new();
    while !input.is_empty() {
        match codec::take(&mut input) {
            Ok(frame) => frames.push(frame),
            Err(error) => return (frames, Some(error)),
        }
    }
    (frames, None)
}

proptest! {
    #[test]
    fn frames_written_back_to_back_are_read_again(frames in vec(frame(), 1..6)) {
        let mut buffer = Vec::new();
        for frame in &frames {
            codec::append(&mut buffer, frame, usize::MAX).unwrap();
        }
        prop_assert_eq!(take_all(&buffer), (frames, None));
    }

    #[test]
    fn the_overhead_of_a_part_is_bounded(key in stream_key(), part in reply(), call in call_key()) {
        let Reply::Data(data) = part else {
            return Ok(());
        };
        let (size_bytes, bytes) = (data.bytes.len(), data.bytes.clone());
        let parts = [
            Frame::Body { key, bytes: bytes.clone() },
            Frame::Reply { key, reply: Reply::Data(data) },
            Frame::Call { key: call, last: true, bytes },
        ];
        for part in parts {
            let limit_bytes = size_bytes + OVERHEAD_SIZE_BYTES;
            prop_assert!(codec::append(&mut Vec::new(), &part, limit_bytes).is_ok());
        }
    }

    #[test]
    fn an_oversized_frame_leaves_the_buffer_alone(frame in frame(), limit_bytes in 0..200_usize) {
        let mut buffer = vec![1, 2, 3];
        match codec::append(&mut buffer, &frame, limit_bytes) {
            Ok(size_bytes) => prop_assert!(size_bytes <= limit_bytes),
            Err(error) => {
                let too_large = matches!(error, CodecError::TooLarge { .. });
                prop_assert!(too_large);
                prop_assert_eq!(buffer, [1, 2, 3]);
            }
        }
    }

    #[test]
    fn a_truncated_frame_is_refused(frame in frame(), cut in any::<prop::sample::Index>()) {
        let mut buffer = Vec::new();
        let size_bytes = codec::append(&mut buffer, &frame, usize::MAX).unwrap();
        buffer.truncate(cut.index(size_bytes));
        prop_assert_eq!(take_all(&buffer).0, []);
    }

    #[test]
    fn garbage_is_refused_without_a_panic(input in vec(any::<u8>(), 0..300)) {
        let _ = take_all(&input);
    }

    // Random bytes seldom get far into a frame; a frame with a few bytes changed does.
    #[test]
    fn a_damaged_frame_never_panics(
        frame in frame(),
        changes in vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    ) {
        let mut buffer = Vec::new();
        codec::append(&mut buffer, &frame, usize::MAX).unwrap();
        for (at, byte) in changes {
            let at = at.index(buffer.len());
            buffer[at] = byte;
        }
        let _ = take_all(&buffer);
    }
}

/// A turn of a chat as it is asked of an owner, and the refusal of one that holds nothing of it.
fn refused_question() -> [Frame; 2] {
    let attempt = AttemptId {
        router: "dvorana-a-1".into(),
        incarnation: 1_764_700_000_000,
        sequence: 12_345,
        attempt: 1,
    };
    let block = |number: u32| PrefixBlock { hash: u64::MAX - 1, tokens: 400 + 300 * number };
    let chat = ChatTarget {
        model: "ballad-8b".into(),
        adapter: None,
        prefix: (0..6).map(block).collect(),
        prompt_tokens: 1_900,
        output_tokens: 1_017,
        stream: true,
        resume_tokens: 0,
    };
    let open = Open {
        attempt: attempt.clone(),
        replica: "engine-1".into(),
        claim: Claim::IfHeld,
        refused_mean_tokens: 16_428,
        workspace: "commentaries".into(),
        priority: Priority::Normal,
        deadline_ms: 59_000,
        configuration_version: 42,
        target: Target::Chat(chat),
    };
    let key = StreamKey::new(4_001, &attempt);
    let refusal = Refusal::not_run(RefusalReason::NotHeld, None, "Not held.");
    let load = LoadSample { load_tokens: 16_000, mean_tokens: 16_400.0, mean_weight: 17.5 };
    let refusal = ReplyRefusal { refusal, tokens: None, load };
    [
        Frame::Open { key, window_bytes: 4_096, open },
        Frame::Reply { key, reply: Reply::Refusal(refusal) },
    ]
}

#[test]
fn a_refused_question_is_written_without_names() {
    // Symptom: control traffic of 1.1 KB/s a router at rest, 1.7 while engines come and go.
    // Sequence: six tenths are attempts that owners refuse, each written with its field names.
    // Cause: half of such a message says what both ends know. The form is pinned by its size: a
    // change needs a new version of the protocol, or links between two programs break.
    let sizes_bytes =
        refused_question().map(|frame| codec::append(&mut Vec::new(), &frame, usize::MAX).unwrap());
    assert_eq!(sizes_bytes, [181, 40]);
}

#[test]
fn a_declared_length_allocates_nothing_before_the_bytes_arrive() {
    // Symptom: a few bytes from a peer take gigabytes of memory. Cause: a decoder that reserves
    // what a length field says. Kinds BODY (1) and HEAD (4) with lengths of 2^62.
    let length = [0x5b, 0x40, 0, 0, 0, 0, 0, 0, 0];
    let body = [&[0x84, 1, 1, 1][..], &length, b"short"].concat();
    let array = [&[0x84, 4, 1, 1, 0x83, 0x18, 200][..], &[0x9b, 0x40, 0, 0, 0, 0, 0, 0, 0]];
    assert!(take_all(&body).1.is_some());
    assert!(take_all(&array.concat()).1.is_some());
}
