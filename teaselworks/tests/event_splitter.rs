//! Tests of the splitting of streams into events.

use teaselworks::relay::{EventSplitter, SplitError};

/// Guards against a run that is joined though its first event does not come after the last one that
/// was forwarded, and against one that is not though it does.
#[test]
fn a_run_goes_on_after_the_last_event() {
    let cases = [
        ("id: 3\ndata: c\n\n", true),
        ("id: 4\ndata: c\n\n", true),
        (": warm\n\nid: 3\ndata: c\n\n", true),
        ("x-weight-versions: 7\nid: 3\ndata: c\n\n", true),
        ("id: 10\ndata: c\n\n", true),
        ("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", false),
        ("id: 1\ndata: a\n\n", false),
        ("data: c\n\nid: 3\ndata: c\n\n", false),
        ("id:\ndata: c\n\n", false),
    ];
    for (rest, is_continued) in cases {
        let mut splitter = EventSplitter::default();
        splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n").unwrap();
        splitter.start_run();
        let expected = if is_continued { Ok(rest.into()) } else { Err(SplitError::NotContinued) };
        assert_eq!(splitter.push(rest.as_bytes()), expected, "{rest:?}");
        if !is_continued {
            assert_eq!((splitter.last_id(), splitter.event_count()), (Some("2"), 2), "{rest:?}");
        }
    }
}

/// Guards against a stream that a caller resumes and that begins with an event that it has.
#[test]
fn a_stream_that_a_caller_resumes_goes_on_after_its_event() {
    let after = |after, event: &str| EventSplitter::resuming(after).push(event.as_bytes());
    assert_eq!(after(Some("9"), "id: 10\n\n"), Ok("id: 10\n\n".into()));
    assert_eq!(after(Some("9"), "id: 9\n\n"), Err(SplitError::NotContinued));
    assert_eq!(after(Some("c"), "id: d\n\n"), Ok("id: d\n\n".into()));
    assert_eq!(after(Some("c"), "id: c\n\n"), Err(SplitError::NotContinued));
    assert_eq!(after(None, "data: a\n\n"), Ok("data: a\n\n".into()));
}

/// Guards against a stream that is resumed at an earlier event since the last one has no identifier.
#[test]
fn a_stream_is_resumed_only_after_an_event_with_an_identifier() {
    let cases = [
        ("", true),
        (": warm\n\n", true),
        ("id: 1\ndata: a\n\n", true),
        ("id: 1\ndata: a\n\n: warm\n\n", true),
        ("data: a\n\nid: 2\ndata: b\n\n", true),
        ("data: a\n\n", false),
        ("id: 1\ndata: a\n\ndata: b\n\n", false),
        ("id: 1\ndata: a\n\nid:\ndata: b\n\n", false),
    ];
    for (events, can_resume) in cases {
        let mut splitter = EventSplitter::default();
        splitter.push(events.as_bytes()).unwrap();
        assert_eq!(splitter.can_resume(), can_resume, "{events:?}");
    }
}

/// Guards against events that are held back or lost since their lines end with CR LF, wherever the
/// stream is split.
#[test]
fn events_with_carriage_returns_are_returned_when_complete() {
    for text in ["id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "id: 1\n\nid: 2\n\r\n"] {
        for split in 0..text.len() {
            let mut splitter = EventSplitter::default();
            let first = splitter.push(&text.as_bytes()[..split]).unwrap();
            assert!(text.as_bytes().starts_with(&first), "{split}");
            let second = splitter.push(&text.as_bytes()[split..]).unwrap();
            assert_eq!([first, second].concat(), text.as_bytes(), "{split}");
            assert_eq!((splitter.last_id(), splitter.event_count()), (Some("2"), 2), "{split}");
            assert!(!splitter.has_partial_event(), "{split}");
        }
    }
}
