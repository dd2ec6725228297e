//! Tests of differences between configuration texts.

use medlarlanding_core::cases;
use medlarlanding_core::distribution::TextDelta;

use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 20_261_204;

/// Guards against a difference that restores a wrong text, also with multi-byte characters.
#[test]
fn a_difference_restores_the_text() {
    fn property(head: String, tail: String, old: String, new: String) -> bool {
        let (base, text) = (format!("{head}{old}{tail}"), format!("{head}{new}{tail}"));
        let delta = TextDelta::between(&base, &text);
        delta.apply(&base).as_ref() == Some(&text) && delta.middle_len() <= new.len() + 6
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, SEED))
        .tests(3000)
        .quickcheck(property as fn(String, String, String, String) -> bool);
}

/// Guards against a panic when a difference is applied to a text other than its base.
#[test]
fn a_difference_never_panics_on_another_text() {
    fn property(base: String, text: String, other: String) -> bool {
        let applied = TextDelta::between(&base, &text).apply(&other);
        applied.is_none_or(|applied| applied.len() <= other.len() + text.len())
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, SEED))
        .tests(3000)
        .quickcheck(property as fn(String, String, String) -> bool);
}

fn check_middle((base, text, len): (&str, &str, usize)) {
    let delta = TextDelta::between(base, text);
    assert_eq!(delta.apply(base).as_deref(), Some(text));
    assert_eq!(delta.middle_len(), len);
}

cases! { check_middle;
    /// Guards against an overlap of prefix and suffix.
    repeated_characters_do_not_overlap => ("aaaa", "aaaaaa", 2),
    /// Guards against an underflow of the length when the text gets shorter.
    a_shorter_text_has_an_empty_middle => ("aaaaaa", "aaaa", 0),
    /// Guards against a whole text being sent when both are equal.
    equal_texts_have_an_empty_middle => ("abc", "abc", 0),
    /// Guards against a prefix that ends within a character: both letters have the same first byte.
    characters_are_not_cut => ("xäy", "xöy", 2),
}
