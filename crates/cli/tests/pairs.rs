//! Two faults, the second during the first or during the recovery from it, under a load of calls
//! with keys, streams and chats: each caller's tale is held against the stand-ins' own accounts.

mod fleet;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use fleet::{
    Answer, Fleet, FleetOptions, Folder, Live, chat_body, command, expected_text, get, post,
    set_faults, until,
};
use serde_json::json;

/// Time for which a fault lasts.
const LASTS: Duration = Duration::from_millis(900);
/// Time that a call with a key has: less than a fault lasts.
const DEADLINE_MS: &str = "700";
/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);
const TOKENS: u32 = 40;
const FEW: u32 = 4;
const LORAS: [&str; 3] = ["sky-brief@v2", "itinerary@v1", "school-mail@v1"];

/// What faults are brought about in.
struct Ground {
    fleet: Fleet,
    folder: Folder,
    entries: usize,
    claims: usize,
}

/// A fault, and its end.
#[derive(Clone, Copy)]
struct Fault {
    name: &'static str,
    strike: fn(&mut Ground),
    lift: fn(&mut Ground),
}

const fn fault(name: &'static str, strike: fn(&mut Ground), lift: fn(&mut Ground)) -> Fault {
    Fault { name, strike, lift }
}

const ENTRY_KILLED: Fault = fault(
    "entry killed",
    |g| g.fleet.entries[0].kill(),
    Ground::replace,
);
const SIDE_KILLED: Fault = fault(
    "side killed",
    |g| g.fleet.engine_side(0).kill(),
    |g| g.fleet.start_engine_side(0),
);
const SERVICE_SIDE_KILLED: Fault = fault(
    "side of the service killed",
    |g| g.fleet.sides.get_mut("booking-0").unwrap().kill(),
    |g| g.fleet.start_service_side("booking-0"),
);
const SIDE_FROZEN: Fault = fault(
    "side of the service frozen over the deadline",
    |g| g.fleet.sides["booking-0"].signal("STOP"),
    |g| g.fleet.sides["booking-0"].signal("CONT"),
);
const ENGINE_COLD: Fault = fault(
    "engine restarts cold",
    |g| {
        set_faults(
            &g.fleet.engines[0].address,
            &json!({"restart": true, "cold_ms": 600}),
        )
    },
    |_| {},
);
const LOG_DOWN: Fault = fault(
    "log down",
    |g| set_faults(&g.fleet.log.address, &json!({"down": true})),
    |g| set_faults(&g.fleet.log.address, &json!({})),
);
const REPLIES_LOST: Fault = fault(
    "log's replies and service's answers lost",
    |g| {
        set_faults(&g.fleet.log.address, &json!({"lose_replies": 4}));
        set_faults(&g.fleet.service.address, &json!({"lose_answers": 3}));
    },
    |_| {},
);
const STORE_DOWN: Fault = fault(
    "store down",
    |g| set_faults(&g.fleet.store.address, &json!({"down": true})),
    |g| set_faults(&g.fleet.store.address, &json!({})),
);
const RACE: Fault = fault("operators race", Ground::race, |_| {});

struct Pair {
    first: Fault,
    second: Fault,
    /// The second comes before the first has ended.
    together: bool,
}

const fn pair(first: Fault, second: Fault, together: bool) -> Pair {
    Pair {
        first,
        second,
        together,
    }
}

const PAIRS: [Pair; 8] = [
    pair(ENTRY_KILLED, SIDE_FROZEN, false),
    pair(SIDE_FROZEN, LOG_DOWN, true),
    pair(SIDE_FROZEN, SIDE_FROZEN, false),
    pair(REPLIES_LOST, SERVICE_SIDE_KILLED, false),
    pair(LOG_DOWN, ENTRY_KILLED, true),
    pair(SIDE_KILLED, ENGINE_COLD, false),
    pair(STORE_DOWN, SIDE_KILLED, true),
    pair(RACE, LOG_DOWN, false),
];

impl Ground {
    fn start() -> Self {
        let mut fleet = Fleet::start(&FleetOptions {
            entries: 2,
            ..FleetOptions::default()
        });
        fleet.start_service_side("booking-1");
        fleet.until_ready();
        Self {
            fleet,
            folder: Folder::new("pairs"),
            entries: 2,
            claims: 10,
        }
    }

    /// Another entry in place of the first.
    fn replace(&mut self) {
        self.fleet.entries.remove(0);
        self.fleet.start_entry(self.entries);
        self.entries += 1;
    }

    /// Operators with different changes from the same base.
    fn race(&mut self) {
        let dump = get(&self.fleet.entries[0].admin, "/dump").json();
        let base = dump["config"]["revision"].to_string();
        let operators = (0..3).map(|_| {
            self.claims += 1;
            let file = self.folder.with_claim(self.claims);
            let mut command = command("pumicecleat");
            command.args([
                "apply",
                "--log",
                &self.fleet.log.address,
                "--base",
                &base,
                &file,
            ]);
            command.spawn().unwrap()
        });
        let operators: Vec<_> = operators.collect();
        let codes = operators.into_iter().map(|mut o| o.wait().unwrap().code());
        let won = codes.filter(|c| *c == Some(0)).count();
        assert_eq!(won, 1, "of racing operators one wins");
    }
}

/// What callers were told.
#[derive(Default)]
struct Tale {
    holds: BTreeMap<String, Vec<Answer>>,
    streams: Vec<(usize, Answer)>,
    chats: Vec<(usize, Answer)>,
}

/// Callers, and where they find the entries.
#[derive(Default)]
struct Load {
    ended: AtomicBool,
    entries: Mutex<Vec<String>>,
    admins: Mutex<Vec<String>>,
    tale: Mutex<Tale>,
}

impl Load {
    /// Takes the entries as they stand, as the platform's balancer does.
    fn see(&self, fleet: &Fleet) {
        let callers = fleet.entries.iter().map(|e| e.address.clone());
        *self.entries.lock().unwrap() = callers.collect();
        let admins = fleet.entries.iter().map(|e| e.admin.clone());
        *self.admins.lock().unwrap() = admins.collect();
    }

    fn entry(&self, n: usize) -> String {
        let entries = self.entries.lock().unwrap();
        entries[n % entries.len()].clone()
    }

    fn until_ended(&self, mut work: impl FnMut(usize)) {
        for n in 0.. {
            if self.ended.load(Ordering::Relaxed) {
                return;
            }
            work(n);
            thread::sleep(PAUSE);
        }
    }

    /// Calls with keys, each repeated once through another entry unless it was answered.
    fn hold(&self, caller: usize) {
        self.until_ended(|n| {
            let key = format!("key-{caller}-{n}");
            let headers = [("idempotency-key", &*key), ("x-deadline-ms", DEADLINE_MS)];
            let mut told = vec![post(&self.entry(n), "/seats/hold", &headers, "{}")];
            if told[0].status != 200 {
                told.push(post(&self.entry(n + 1), "/seats/hold", &headers, "{}"));
            }
            self.tale.lock().unwrap().holds.insert(key, told);
        });
    }

    fn stream(&self, caller: usize) {
        self.until_ended(|n| {
            let body = chat_body(LORAS[(caller + n) % LORAS.len()], TOKENS, true);
            let path = "/v1/chat/completions";
            let Some(live) = Live::try_post(&self.entry(n), path, &body) else {
                return;
            };
            let answer = live.finish();
            let told = ((caller + n) % LORAS.len(), answer);
            self.tale.lock().unwrap().streams.push(told);
        });
    }

    fn chat(&self, caller: usize) {
        self.until_ended(|n| {
            let body = chat_body(LORAS[(caller + n) % LORAS.len()], FEW, false);
            let answer = post(&self.entry(n), "/v1/chat/completions", &[], &body);
            let told = ((caller + n) % LORAS.len(), answer);
            self.tale.lock().unwrap().chats.push(told);
        });
    }

    /// No entry's revision steps back.
    fn watch(&self) {
        let mut highest = BTreeMap::new();
        self.until_ended(|n| {
            let admins = self.admins.lock().unwrap().clone();
            let admin = &admins[n % admins.len()];
            let dump = get(admin, "/dump").json();
            let revision = dump["config"]["revision"].as_u64().unwrap_or(u64::MAX);
            let before = highest.insert(admin.clone(), revision).unwrap_or(0);
            assert!(
                revision >= before || before == u64::MAX,
                "{before}, {revision}"
            );
        });
    }
}

fn run(pair: &Pair) -> (Ground, Tale) {
    let mut ground = Ground::start();
    let load = Load::default();
    load.see(&ground.fleet);
    thread::scope(|scope| {
        let load = &load;
        for n in 0..3 {
            scope.spawn(move || load.hold(n));
            scope.spawn(move || load.stream(n));
            scope.spawn(move || load.chat(n));
        }
        scope.spawn(move || load.watch());
        strike_both(pair, &mut ground, load);
        ground.fleet.until_ready();
        load.ended.store(true, Ordering::Relaxed);
    });
    (ground, load.tale.into_inner().unwrap())
}

fn strike_both(pair: &Pair, ground: &mut Ground, load: &Load) {
    thread::sleep(LASTS / 3);
    (pair.first.strike)(ground);
    thread::sleep(LASTS);
    if !pair.together {
        (pair.first.lift)(ground);
        load.see(&ground.fleet);
    }
    (pair.second.strike)(ground);
    thread::sleep(LASTS);
    if pair.together {
        (pair.first.lift)(ground);
    }
    (pair.second.lift)(ground);
    load.see(&ground.fleet);
}

fn check_answers(name: &str, tale: &Tale) {
    for (lora, answer) in &tale.streams {
        let done = answer.body.ends_with("data: [DONE]\n\n");
        if answer.whole && answer.status == 200 {
            assert!(done, "{name}: whole without its end, {answer:?}");
            let text = expected_text(LORAS[*lora], u64::from(TOKENS));
            assert_eq!(answer.streamed(), text, "{name}");
        }
    }
    let whole = |a: &&(usize, Answer)| a.1.whole && a.1.status == 200;
    for (lora, answer) in tale.chats.iter().filter(whole) {
        let text = expected_text(LORAS[*lora], u64::from(FEW));
        assert_eq!(answer.text(), text, "{name}");
    }
    assert!(tale.streams.iter().any(|s| whole(&s)), "{name}: no stream");
    assert!(tale.chats.iter().any(|c| whole(&c)), "{name}: no chat");
}

/// A chat told as not run is on no engine's account.
fn check_refused_chats(name: &str, ground: &Ground, tale: &Tale) {
    let engines = ground.fleet.engines.iter();
    let accounts: Vec<String> = engines.map(|e| get(&e.address, "/effects").body).collect();
    for (_, answer) in tale.chats.iter().filter(|c| c.1.ran() == "no") {
        if let Some(id) = answer.header("x-request-id") {
            let run = accounts.iter().any(|a| a.contains(&format!("\"{id}\"")));
            assert!(!run, "{name}: {id} told as not run, {answer:?}");
        }
    }
}

fn check_holds(name: &str, ground: &Ground, tale: &Tale) {
    let mut answered = 0;
    for (key, told) in &tale.holds {
        let effects = ground.fleet.effects(key);
        assert!(effects <= 1, "{name}: {key} has {effects}, {told:?}");
        let not_run = told.iter().all(|a| a.ran() == "no");
        assert!(!not_run || effects == 0, "{name}: {key} not run, {told:?}");
        let whole = told.iter().any(|a| a.status == 200 && a.whole);
        assert!(!whole || effects == 1, "{name}: {key} answered, {told:?}");
        answered += usize::from(whole);
    }
    assert!(answered > 0, "{name}: no call was answered");
    until("every key settles", || {
        tale.holds.keys().all(|key| {
            let answer = ground.fleet.hold(0, key, "{}");
            answer.status == 200 || answer.code() == "key_outcome_unknown"
        })
    });
    let once = |key: &String| ground.fleet.effects(key) <= 1;
    assert!(tale.holds.keys().all(once), "{name}: doubled by a repeat");
}

#[test]
fn no_two_faults_break_a_promise() {
    for pair in &PAIRS {
        let name = format!("{}, then {}", pair.first.name, pair.second.name);
        let (ground, tale) = run(pair);
        check_answers(&name, &tale);
        check_refused_chats(&name, &ground, &tale);
        check_holds(&name, &ground, &tale);
        assert_eq!(ground.fleet.engine_count("evicted_in_use"), 0, "{name}");
        until("the engines are idle", || ground.fleet.running().is_empty());
        let (holds, streams, chats) = (tale.holds.len(), tale.streams.len(), tale.chats.len());
        println!("{name}: {holds} holds, {streams} streams, {chats} chats");
    }
}
