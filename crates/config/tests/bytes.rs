//! Neither the parser nor the record decoder panics on arbitrary bytes.

use proptest::prelude::*;
use proptest::sample::Index;
use pumicecleat_config::{Fold, FoldEvent, Source, parse};
use pumicecleat_types::LogRecord;

const FILES: &[&[u8]] = &[
    include_bytes!("cases/good/csillagkapu/models.toml"),
    include_bytes!("cases/good/csillagkapu/booking.toml"),
    include_bytes!("cases/good/vithu-koottam/seeds.toml"),
    include_bytes!("cases/bad/types/a.toml"),
];

/// Mutation of a byte string at an offset.
#[derive(Clone, Debug)]
enum Mutation {
    Set(u8),
    Insert(Vec<u8>),
    Remove(u8),
    Duplicate(u8),
}

fn mutation() -> impl Strategy<Value = (Index, Mutation)> {
    let words = prop::sample::select(vec!["[", "]]", "=", "\"", "'''", "\n", ".", "{", "\u{e9}"]);
    let kind = prop_oneof![
        any::<u8>().prop_map(Mutation::Set),
        words.prop_map(|w| Mutation::Insert(w.as_bytes().to_vec())),
        any::<u8>().prop_map(Mutation::Remove),
        any::<u8>().prop_map(Mutation::Duplicate),
    ];
    (any::<Index>(), kind)
}

fn mutate(bytes: &mut Vec<u8>, at: Index, mutation: &Mutation) {
    let at = at.index(bytes.len() + 1);
    let end = |len: u8| bytes.len().min(at + usize::from(len));
    match mutation {
        Mutation::Set(byte) => bytes.iter_mut().skip(at).take(1).for_each(|b| *b = *byte),
        Mutation::Insert(word) => drop(bytes.splice(at..at, word.iter().copied())),
        Mutation::Remove(len) => drop(bytes.drain(at..end(*len))),
        Mutation::Duplicate(len) => {
            let part = bytes[at..end(*len)].to_vec();
            bytes.splice(at..at, part);
        }
    }
}

fn check_parse(bytes: &[u8]) {
    let name = "a.toml";
    let source = Source { name, bytes };
    if let Err(faults) = parse(&[source]) {
        assert!(!faults.0.is_empty());
        let lines = bytes.split(|b| *b == b'\n').count();
        let mut places = faults.0.iter().filter_map(|f| f.place.as_ref());
        assert!(places.all(|p| (1..=lines).contains(&p.line)));
    }
}

fn check_apply(data: Vec<u8>) {
    let (offset, at) = (0, 0);
    let mut fold = Fold::new();
    let event = fold.apply(&LogRecord { offset, at, data }).unwrap();
    if matches!(event, FoldEvent::Malformed { .. }) {
        assert_eq!(fold.revision(), 0);
    }
    let newer = matches!(event, FoldEvent::UnsupportedFormat { .. });
    assert_eq!(fold.next(), u64::from(!newer));
}

fn record() -> Vec<u8> {
    use pumicecleat_config::{Change, ChangeId, Record};
    let sources = FILES[..2].iter().map(|bytes| Source { name: "a", bytes });
    let config = parse(&sources.collect::<Vec<_>>()).unwrap();
    let id = ChangeId::try_from("x".to_owned()).unwrap();
    let change = Change::new(id, 0, Fold::new().config(), &config, "test");
    Record::Change(Box::new(change)).to_bytes()
}

proptest! {
    #[test]
    fn parse_takes_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        check_parse(&bytes);
    }

    #[test]
    fn parse_takes_any_text(text in "[a-z.=\\[\\]{}\"'0-9 \n-]{0,200}") {
        check_parse(text.as_bytes());
    }

    #[test]
    fn parse_takes_mutations(
        file in any::<Index>(),
        mutations in prop::collection::vec(mutation(), 1..6),
    ) {
        let mut bytes = file.get(FILES).to_vec();
        for (at, mutation) in &mutations {
            mutate(&mut bytes, *at, mutation);
        }
        check_parse(&bytes);
    }

    #[test]
    fn fold_takes_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Fold::from_snapshot(&bytes);
        check_apply(bytes);
    }

    #[test]
    fn fold_takes_mutations(mutations in prop::collection::vec(mutation(), 1..4)) {
        let mut bytes = record();
        for (at, mutation) in &mutations {
            mutate(&mut bytes, *at, mutation);
        }
        check_apply(bytes);
    }
}
