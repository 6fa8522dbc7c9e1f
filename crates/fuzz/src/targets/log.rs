//! Records and snapshots of the configuration's stream.

use pumicecleat_config::{Change, ChangeId, Fold, FoldEvent, Record, Source, parse};
use pumicecleat_types::{LogRecord, decode};

use super::{Broken, Target, require};

/// A record of the `config` stream.
pub(super) struct ConfigRecord {
    held: Fold,
}

/// A peer's snapshot.
pub(super) struct PeerSnapshot {
    held: Fold,
}

impl ConfigRecord {
    /// Target with the sample in force.
    pub(super) fn new() -> Self {
        Self { held: held() }
    }
}

impl PeerSnapshot {
    /// Target with the sample in force.
    pub(super) fn new() -> Self {
        Self { held: held() }
    }
}

impl Target for ConfigRecord {
    fn name(&self) -> &'static str {
        "record"
    }

    fn samples(&self) -> Vec<Vec<u8>> {
        let snapshot = Record::Snapshot(Box::new(self.held.snapshot()));
        vec![change(), snapshot.to_bytes()]
    }

    fn check(&self, input: &[u8]) -> Result<bool, Broken> {
        check_round(input)?;
        let first = check_apply(&Fold::new(), input, 0)?;
        let later = check_apply(&self.held, input, 1)?;
        let behind_gap = check_gap(&self.held, input)?;
        Ok(first || later || behind_gap)
    }
}

/// What is decoded comes back from its own bytes.
fn check_round(input: &[u8]) -> Result<(), Broken> {
    let Ok(record) = decode::<Record>(input) else {
        return Ok(());
    };
    let again = decode::<Record>(&record.to_bytes()).ok();
    require(
        again.as_ref() == Some(&record),
        "a record changes on its way",
    )
}

/// A record of a later format stops the fold where it stands.
fn check_stop(before: &Fold, after: &Fold, format: u32) -> Result<bool, Broken> {
    require(format > 1, "stopped by a format that is known")?;
    let stays = after.next() == before.next() && after.digest() == before.digest();
    require(stays, "moved by a record of a later format").map(|()| false)
}

/// Applied in its turn: no gap, no step back, and the same twice.
fn check_apply(fold: &Fold, input: &[u8], offset: u64) -> Result<bool, Broken> {
    let mut after = fold.clone();
    let data = input.to_vec();
    let record = LogRecord {
        offset,
        at: 0,
        data,
    };
    let Ok(event) = after.apply(&record) else {
        return require(false, "a gap where there is none").map(|()| false);
    };
    if let FoldEvent::UnsupportedFormat { format, .. } = event {
        return check_stop(fold, &after, format);
    }
    require(after.next() == offset + 1, "the record was not passed")?;
    require(
        after.revision() >= fold.revision(),
        "the revision went back",
    )?;
    let accepted = matches!(event, FoldEvent::Accepted { .. });
    let moved = after.revision() != fold.revision() || after.digest() != fold.digest();
    require(accepted || !moved, "changed without being accepted")?;
    let twice = after.apply(&record);
    require(twice == Ok(FoldEvent::AlreadyApplied), "taken twice")?;
    check_snapshot(&after)?;
    Ok(!matches!(event, FoldEvent::Malformed { .. }))
}

/// Behind a gap only a snapshot may move the fold, and only forward.
fn check_gap(fold: &Fold, input: &[u8]) -> Result<bool, Broken> {
    let mut after = fold.clone();
    let data = input.to_vec();
    let record = LogRecord {
        offset: 9,
        at: 0,
        data,
    };
    let event = after.apply(&record);
    let started = matches!(event, Ok(FoldEvent::Restored { .. }));
    let forward = after.next() > fold.next() && after.revision() >= fold.revision();
    let still = after.next() == fold.next() && after.digest() == fold.digest();
    require(if started { forward } else { still }, "moved over a gap")?;
    Ok(started)
}

impl Target for PeerSnapshot {
    fn name(&self) -> &'static str {
        "snapshot"
    }

    fn samples(&self) -> Vec<Vec<u8>> {
        vec![self.held.snapshot_bytes(), Fold::new().snapshot_bytes()]
    }

    fn check(&self, input: &[u8]) -> Result<bool, Broken> {
        let before = &self.held;
        let mut after = before.clone();
        let newer = after.adopt_snapshot(input).unwrap_or(false);
        require(
            after.revision() >= before.revision(),
            "the revision went back",
        )?;
        require(
            newer || after.digest() == before.digest(),
            "changed by a refused snapshot",
        )?;
        let Ok(fold) = Fold::from_snapshot(input) else {
            return require(!newer, "adopted what can't start a fold").map(|()| false);
        };
        check_snapshot(&fold)?;
        Ok(true)
    }
}

/// A fold starts again from its own snapshot.
fn check_snapshot(fold: &Fold) -> Result<(), Broken> {
    let Ok(again) = Fold::from_snapshot(&fold.snapshot_bytes()) else {
        return require(false, "its own snapshot is refused");
    };
    let same = again.revision() == fold.revision()
        && again.next() == fold.next()
        && again.digest() == fold.digest();
    require(same, "its own snapshot differs")
}

/// Fold with the sample in force.
fn held() -> Fold {
    let mut fold = Fold::new();
    let data = change();
    let (offset, at) = (0, 0);
    // The sample is sound; were it not, every input would show it.
    let _ = fold.apply(&LogRecord { offset, at, data });
    fold
}

/// Record of a change from nothing to the sample.
fn change() -> Vec<u8> {
    let bytes: &[u8] = include_bytes!("../../../../examples/demo.toml");
    let name = "demo.toml";
    let config = parse(&[Source { name, bytes }]).unwrap_or_default();
    let id = ChangeId::try_from("first".to_owned());
    let change = id.map(|id| Change::new(id, 0, Fold::new().config(), &config, "asha"));
    change.map_or_else(|_| Vec::new(), |c| Record::Change(Box::new(c)).to_bytes())
}
