//! Splitting of event streams into complete events.

use medlarlanding::forwarding::EventSplitter;
use medlarlanding_core::cases;

use quickcheck::{Gen, QuickCheck};

/// Feeds `text` to a splitter in parts that end at `cuts`. Returns the events and the remaining
/// bytes.
fn split(text: &[u8], cuts: &[usize]) -> (Vec<(String, Option<String>)>, String) {
    let mut splitter = EventSplitter::default();
    let mut found = Vec::new();
    let mut start = 0;
    let ends = cuts.iter().copied().chain([text.len()]);
    for end in ends {
        assert!(splitter.push(&text[start..end]));
        while let Some(event) = splitter.next_event() {
            found.push((String::from_utf8_lossy(&event.bytes).into_owned(), event.id));
        }
        start = end;
    }
    (found, String::from_utf8_lossy(&splitter.take_rest()).into_owned())
}

fn splits((text, ids, rest): (&str, &[Option<&str>], &str)) {
    let (found, left) = split(text.as_bytes(), &[]);
    let found_ids: Vec<Option<&str>> = found.iter().map(|(_, id)| id.as_deref()).collect();
    assert_eq!((found_ids.as_slice(), left.as_str()), (ids, rest));
    let joined: String = found.iter().map(|(bytes, _)| bytes.as_str()).collect();
    assert_eq!(joined + &left, text, "bytes are forwarded unchanged");
}

cases! { splits;
    two_events => ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", &[Some("1"), Some("2")], ""),
    incomplete_event_is_kept => ("id: 1\ndata: a\n\nid: 2\ndata", &[Some("1")], "id: 2\ndata"),
    carriage_returns => ("id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", &[Some("1"), Some("2")], ""),
    event_without_id => ("data: a\n\n", &[None], ""),
    line_before_the_id => ("x-weight-versions: 3\nid: 9\ndata: a\n\n", &[Some("9")], ""),
    empty_stream => ("", &[], ""),
}

/// Guards against events that are lost, joined or changed when their bytes arrive in several parts.
fn parts_give_same_events(events: Vec<(u16, String)>, cuts: Vec<usize>) -> bool {
    let text: String = events
        .iter()
        .map(|(id, data)| format!("id: {id}\ndata: {}\n\n", data.replace(['\n', '\r'], " ")))
        .collect();
    let text = text.as_bytes();
    let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut % (text.len() + 1)).collect();
    cuts.sort_unstable();
    split(text, &cuts) == split(text, &[]) && split(text, &cuts).0.len() == events.len()
}

#[test]
fn events_do_not_depend_on_cuts() {
    for seed in [1, 2, 3] {
        println!("seed {seed}");
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(20, seed))
            .tests(300)
            .quickcheck(parts_give_same_events as fn(Vec<(u16, String)>, Vec<usize>) -> bool);
    }
}

/// Guards against a stream that is cut within an event and looks complete, and against one that is called
/// cut although only empty lines or comments follow its last event.
fn ends_within_event((text, expected): (&str, bool)) {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(text.as_bytes()));
    while splitter.next_event().is_some() {}
    assert_eq!(splitter.is_within_event(), expected);
}

cases! { ends_within_event;
    whole_events_end_outside => ("id: 1\ndata: a\n\n", false),
    first_bytes_of_an_event_are_within => ("id: 1\ndata: a\n\ni", true),
    event_without_its_empty_line_is_within => ("id: 1\ndata: a\n\nid: 2\ndata: b\n", true),
    further_empty_lines_are_outside => ("id: 1\r\ndata: a\r\n\r\n\r\n", false),
    comment_is_outside => ("id: 1\ndata: a\n\n: end\n", false),
    cut_comment_is_within => ("id: 1\ndata: a\n\n: en", true),
    empty_stream_is_outside => ("", false),
}
