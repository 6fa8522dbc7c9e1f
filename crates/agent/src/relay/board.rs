//! What a relay knows: who asks, for which engines, and what was heard of each.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use pumicecleat_policy::{RelayPick, RelaySelector, members_digest, name_key};
use pumicecleat_types::{
    DataCentre, EngineFigures, FiguresReply, KeptAdapters, Member, Millis, Reach, Seen, ViewCall,
    ViewReply, ViewRow, Viewer, VmId,
};

use crate::entries::Entries;

/// Time after its last call for which an asker is gathered for: five calls.
const VIEWER_SPAN: Millis = Millis(1_000);

/// Time between two exchanges with an agent of the own data centre. With the two below it figures reach
/// an entry at an age of half a second at most, within the time for which they are relied on.
const POLL_SPAN: Millis = Millis(100);

/// Time between two exchanges with the relay of another data centre.
const CENTRE_SPAN: Millis = Millis(150);

/// Failing exchanges for this long show that a VM is cut off; a single one may be a lost packet.
const FAILING_SPAN: Millis = Millis(500);

/// Time for which a row is told after the last word about its engine. Askers look for themselves after
/// that.
const TOLD_SPAN: Millis = Millis(1_000);

/// An asker, and what it asks for.
struct Asker {
    viewer: Viewer,
    digest: u64,
    members: Rc<Vec<Member>>,
    at: Millis,
}

/// What was heard of an engine.
struct Row {
    member: Member,
    figures: Option<(EngineFigures, Millis)>,
    kept: KeptAdapters,
    /// Count of changes at which `kept` last changed.
    changed: u64,
    reach: Reach,
    /// First exchange that failed since the last that did not.
    failing: Option<Millis>,
    /// Last word about it, good or bad.
    checked: Option<Millis>,
    polled: Option<Millis>,
    polling: bool,
}

/// The relay of another data centre.
#[derive(Default)]
struct Centre {
    link: RelaySelector,
    asked: Option<Millis>,
    asking: bool,
    /// Entries that it heard of, and when it told.
    entries: Option<(u32, Millis)>,
}

/// What a relay knows.
pub(crate) struct Board {
    own: DataCentre,
    /// Address at which this agent is asked.
    address: SocketAddr,
    seen: Seen,
    askers: BTreeMap<VmId, Asker>,
    rows: BTreeMap<String, Row>,
    centres: BTreeMap<DataCentre, Centre>,
    entries: Entries,
}

/// An ask of the relay of another data centre.
pub(super) struct CentreAsk {
    pub(super) centre: DataCentre,
    pub(super) members: Vec<Member>,
    pub(super) digest: u64,
    pub(super) pick: RelayPick,
}

/// Exchanges that are due.
#[derive(Default)]
pub(super) struct Due {
    /// Agents, each with the digest of the kept adapters that is known.
    pub(super) sides: Vec<(Member, u64)>,
    pub(super) centres: Vec<CentreAsk>,
}

impl Board {
    /// Knows nothing; `start` tells this start of the agent from others.
    pub(crate) fn new(own: DataCentre, address: SocketAddr, start: u64) -> Self {
        Self {
            own,
            address,
            seen: Seen { start, count: 0 },
            askers: BTreeMap::new(),
            rows: BTreeMap::new(),
            centres: BTreeMap::new(),
            entries: Entries::default(),
        }
    }

    /// Whether nobody has asked lately.
    pub(crate) fn is_idle(&self, now: Millis) -> bool {
        self.askers.values().all(|a| now.since(a.at) >= VIEWER_SPAN)
    }

    /// Takes in what is known of the own engine.
    pub(super) fn hear_own(&mut self, figures: &EngineFigures, kept: Vec<String>, now: Millis) {
        let address = self.address;
        let own = self.rows.values().find(|r| r.member.side == address);
        let Some(instance) = own.map(|r| r.member.instance.clone()) else {
            return;
        };
        let digest = name_key(&kept.join("/"));
        let reply = FiguresReply {
            figures: figures.clone(),
            kept: Some(KeptAdapters {
                digest,
                names: kept,
            }),
            ..FiguresReply::default()
        };
        self.heard(&instance, reply, now, now);
    }

    /// Notes who asks, and answers with what is known.
    pub(super) fn reply(&mut self, call: ViewCall, now: Millis) -> ViewReply {
        if call.viewer == Viewer::Entry {
            self.entries.heard(&call.caller, now);
        }
        let mut reply = ViewReply {
            seen: self.seen,
            entries: self.count(call.viewer, now),
            ..ViewReply::default()
        };
        let Some(members) = self.members_of(call.digest, call.members) else {
            reply.unknown = true;
            return reply;
        };
        let since = if call.seen.start == self.seen.start {
            call.seen.count
        } else {
            0
        };
        let rows = members.iter().filter_map(|m| self.rows.get(&m.instance));
        let rows = rows.filter(|r| call.viewer == Viewer::Entry || r.member.centre == self.own);
        reply.rows = rows.filter_map(|r| r.tell(since, now)).collect();
        let asker = Asker {
            viewer: call.viewer,
            digest: call.digest,
            members,
            at: now,
        };
        self.askers.insert(call.caller, asker);
        reply
    }

    /// Members of a digest: as they were told now, or by any asker before.
    fn members_of(&self, digest: u64, told: Option<Vec<Member>>) -> Option<Rc<Vec<Member>>> {
        if let Some(told) = told {
            return Some(Rc::new(told));
        }
        let mut askers = self.askers.values();
        let known = askers.find(|a| a.digest == digest)?;
        Some(Rc::clone(&known.members))
    }

    /// Entries heard of here and, for an entry, in the other data centres.
    fn count(&self, viewer: Viewer, now: Millis) -> u32 {
        let here = self.entries.count(now);
        if viewer == Viewer::Relay {
            return here;
        }
        let told = self.centres.values().filter_map(|c| c.entries);
        let told = told.filter(|(_, at)| Entries::counts(*at, now));
        told.fold(here, |sum, (count, _)| sum.saturating_add(count))
    }

    /// Exchanges that are due; they count as begun.
    pub(super) fn due(&mut self, now: Millis) -> Due {
        self.refresh(now);
        let mut due = Due::default();
        for row in self.rows.values_mut() {
            let own = row.member.centre == self.own && row.member.side != self.address;
            let rested = row.polled.is_none_or(|at| now.since(at) >= POLL_SPAN);
            if own && rested && !row.polling {
                row.polling = true;
                row.polled = Some(now);
                due.sides.push((row.member.clone(), row.kept.digest));
            }
        }
        if self.serves_entries(now) {
            due.centres = self.due_centres(now);
        }
        due
    }

    fn serves_entries(&self, now: Millis) -> bool {
        let mut askers = self.askers.values();
        askers.any(|a| a.viewer == Viewer::Entry && now.since(a.at) < VIEWER_SPAN)
    }

    fn due_centres(&mut self, now: Millis) -> Vec<CentreAsk> {
        let mut members: BTreeMap<DataCentre, Vec<Member>> = BTreeMap::new();
        let others = self.rows.values().filter(|r| r.member.centre != self.own);
        for row in others {
            let of = members.entry(row.member.centre.clone()).or_default();
            of.push(row.member.clone());
        }
        let mut due = Vec::new();
        for (name, members) in members {
            let centre = self.centres.entry(name.clone()).or_default();
            let rested = centre.asked.is_none_or(|at| now.since(at) >= CENTRE_SPAN);
            if centre.asking || !rested {
                continue;
            }
            let digest = members_digest(&members);
            let Some(pick) = centre.link.pick(&members, digest, |_| true, now) else {
                continue;
            };
            centre.asking = true;
            centre.asked = Some(now);
            due.push(CentreAsk {
                centre: name,
                members,
                digest,
                pick,
            });
        }
        due
    }

    /// Forgets askers that are gone, and engines that nobody asks for.
    fn refresh(&mut self, now: Millis) {
        self.askers.retain(|_, a| now.since(a.at) < VIEWER_SPAN);
        let lists: BTreeMap<u64, Rc<Vec<Member>>> = self
            .askers
            .values()
            .map(|a| (a.digest, Rc::clone(&a.members)))
            .collect();
        let wanted = lists.values().flat_map(|members| members.iter());
        let mut wanted_names = BTreeSet::new();
        for member in wanted {
            wanted_names.insert(member.instance.as_str());
            let row = self.rows.get_mut(&member.instance);
            match row {
                Some(row) if row.member == *member => {}
                Some(row) => row.member = member.clone(),
                None => {
                    let row = Row::new(member.clone());
                    self.rows.insert(member.instance.clone(), row);
                }
            }
        }
        self.rows
            .retain(|name, _| wanted_names.contains(name.as_str()));
    }

    /// An agent answered an exchange begun at `sent`; gives since when it had not.
    pub(super) fn heard(
        &mut self,
        instance: &str,
        reply: FiguresReply,
        sent: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let row = self.rows.get_mut(instance)?;
        row.polling = false;
        row.checked = Some(now);
        let failing = row.failing.take();
        if reply.figures.instance != instance {
            // An agent that does not know its engine yet has no turns to give.
            row.reach = Reach::Replaced;
            return failing;
        }
        row.reach = Reach::Sound;
        row.figures = Some((reply.figures, sent));
        if let Some(kept) = reply.kept {
            row.keep(kept, &mut self.seen);
        }
        failing
    }

    /// An agent did not answer; `refused` if its VM said that none listens. Gives whether that is new.
    pub(super) fn lost(&mut self, instance: &str, refused: bool, now: Millis) -> bool {
        let Some(row) = self.rows.get_mut(instance) else {
            return false;
        };
        let new = row.failing.is_none();
        row.polling = false;
        row.checked = Some(now);
        let since = *row.failing.get_or_insert(now);
        if refused {
            row.reach = Reach::Sound;
        } else if now.since(since) >= FAILING_SPAN {
            row.reach = Reach::CutOff;
        }
        new
    }

    /// The relay of another data centre answered an ask begun at `sent`.
    pub(super) fn heard_centre(
        &mut self,
        ask: &CentreAsk,
        reply: ViewReply,
        sent: Millis,
        now: Millis,
    ) {
        let centre = self.centres.entry(ask.centre.clone()).or_default();
        centre.asking = false;
        centre.entries = Some((reply.entries, now));
        centre.link.record_reply(ask.pick.key, ask.digest, &reply);
        for told in reply.rows {
            let Some(row) = self.rows.get_mut(&told.instance) else {
                continue;
            };
            row.checked = Some(now);
            row.reach = told.reach;
            if let Some(figures) = told.figures {
                // Older by the way of the ask: an asker may not rely on more than is sure.
                row.figures = Some((figures, sent - Millis(told.age_ms)));
            }
            if let Some(kept) = told.kept {
                row.keep(kept, &mut self.seen);
            }
        }
    }

    /// The relay of another data centre did not answer.
    pub(super) fn lost_centre(&mut self, ask: &CentreAsk, now: Millis) {
        let centre = self.centres.entry(ask.centre.clone()).or_default();
        centre.asking = false;
        // Another is asked at once.
        centre.asked = None;
        centre.link.record_failure(ask.pick.key, now);
    }
}

impl Row {
    fn new(member: Member) -> Self {
        Self {
            member,
            figures: None,
            kept: KeptAdapters::default(),
            changed: 0,
            reach: Reach::Sound,
            failing: None,
            checked: None,
            polled: None,
            polling: false,
        }
    }

    fn keep(&mut self, kept: KeptAdapters, seen: &mut Seen) {
        if kept.digest == self.kept.digest {
            return;
        }
        seen.count += 1;
        self.changed = seen.count;
        self.kept = kept;
    }

    /// What is told of the engine to one who knows all changes up to `since`; nothing if it was not
    /// heard of lately.
    fn tell(&self, since: u64, now: Millis) -> Option<ViewRow> {
        let checked = self.checked?;
        if now.since(checked) >= TOLD_SPAN {
            return None;
        }
        let at = self.figures.as_ref().map_or(now, |f| f.1);
        Some(ViewRow {
            instance: self.member.instance.clone(),
            reach: self.reach,
            age_ms: now.since(at).0,
            figures: self.figures.as_ref().map(|f| f.0.clone()),
            kept: (self.changed > since).then(|| self.kept.clone()),
        })
    }
}
