//! An engine's stream reads the same however the network cuts it.

use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use teaselworks::upstream::EventParser;
use teaselworks_policy::name::AttemptId;

fn attempt() -> AttemptId {
    AttemptId { router: "a".into(), incarnation: 7, sequence: 1, attempt: 0 }
}

/// Returns a stream and what of it reaches the caller.
fn stream(texts: &[String]) -> (String, String) {
    let (mut sent, mut passed) = (String::new(), String::new());
    let usage = r#""usage":{"prompt_tokens":9,"completion_tokens":3}"#;
    for text in texts {
        let id = format!("chatcmpl-{}", attempt());
        let text = serde_json::to_string(text).unwrap();
        let event = format!(
            "data: {{\"id\":\"{id}\",\"choices\":[{{\"delta\":{{\"content\":{text}}}}}]}}\n\n"
        );
        sent += &event;
        passed += &event;
        // Left out, also in the middle of a piece.
        sent += &format!("data: {{\"id\":\"{id}\",\"choices\":[],{usage}}}\n\n");
    }
    let last = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\r\n\r\n";
    (sent + last + "data: [DONE]\n\n", passed + last)
}

proptest! {
    // Symptom: a caller gets an event twice, not at all, or another one's text.
    // Sequence: events arrive in pieces that hold several of them, or a part of one.
    // Cause: what is passed on is cut out of the pieces at the wrong places.
    #[test]
    fn pieces_of_any_length_make_the_same_answer(
        texts in vec("[a-zčšž\"\\\\ ]{0,6}", 0..8),
        cuts in vec(1..200_usize, 0..40),
    ) {
        let (sent, passed) = stream(&texts);
        let mut rest = Bytes::from(sent);
        let mut parser = EventParser::of_attempt(&attempt());
        let mut answer = Vec::new();
        let mut tokens = 0;
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let parsed = parser.push(rest.split_to(cut.min(rest.len()))).unwrap();
            answer.extend_from_slice(&parsed.bytes);
            tokens += parsed.tokens;
        }
        prop_assert_eq!(String::from_utf8(answer).unwrap(), passed);
        prop_assert_eq!(tokens, texts.iter().filter(|text| !text.is_empty()).count() as u64);
        prop_assert_eq!(tokens, parser.tokens());
        prop_assert!(parser.is_whole());
    }
}

// Symptom: one caller is shown the answer to another.
// Sequence: an engine mixes up two streams, at the first event or later.
// Cause: only the first event's id is compared.
#[test]
fn an_event_of_another_answer_is_refused_wherever_it_comes() {
    let event = |id: String| Bytes::from(format!("data: {{\"id\":\"{id}\",\"choices\":[]}}\n\n"));
    let own = format!("chatcmpl-{}", attempt());
    let foreign = format!("chatcmpl-{}", attempt().next());
    let mut parser = EventParser::of_attempt(&attempt());
    assert!(parser.push(event(foreign.clone())).is_err());
    let mut parser = EventParser::of_attempt(&attempt());
    parser.push(event(own)).unwrap();
    assert!(parser.push(event(foreign.clone())).is_err());
    let mut parser = EventParser::default();
    parser.push(event("another".into())).unwrap();
    assert!(parser.push(event(foreign)).is_err());
}
