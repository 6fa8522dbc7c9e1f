//! E7000 on: serving a deployment whose configuration comes whole from a log with keys.

use super::super::event::{Event, rows};
use crate::Level;

rows! {
    /// A stream of the deployment's log does not answer.
    STORE_LOST = "E7001" "store_lost" Warn ["stream", "error"];
    /// A stream of the deployment's log was read whole.
    STORE_READ = "E7002" "store_read" Info ["stream", "records"];
    /// A record of the deployment's log can't be read.
    RECORD_UNREADABLE = "E7003" "record_unreadable" Error ["error"];
    /// A configuration is in force.
    LAYOUT_TAKEN = "E7004" "layout_taken" Info ["number"];
    /// A configuration is older than the one in force.
    LAYOUT_STALE = "E7005" "layout_stale" Warn ["number"];
    /// A newer version of an adapter is known.
    VERSION_TAKEN = "E7006" "version_taken" Info ["adapter", "version"];
    /// An upstream is listed, or stands otherwise.
    UPSTREAM_LISTED = "E7007" "upstream_listed" Info ["instance", "standing"];
    /// An upstream is gone.
    UPSTREAM_GONE = "E7008" "upstream_gone" Info ["instance"];
    /// An upstream's entry lapsed around an outage of the list.
    UPSTREAM_LAPSED = "E7009" "upstream_lapsed" Warn ["instance", "stays_ms"];
    /// A stream of the deployment's log answers again.
    STORE_BACK = "E7010" "store_back" Info ["stream", "down_ms"];
    /// An upstream started again under its name.
    LISTED_AGAIN = "E7011" "listed_again" Warn ["instance", "standing"];
    /// An upstream's entry is older than one read before.
    ENTRY_OUTDATED = "E7012" "entry_outdated" Info ["instance"];
    /// The deployment's log has come back from an older copy.
    STORE_RENEWED = "E7013" "store_renewed" Warn ["stream", "era_before", "offset_before", "era"];
    /// The deployment's log told an era that makes no sense.
    ERA_UNCLEAR = "E7014" "era_unclear" Warn ["stream"];
    /// The list of upstreams is older than the time within which a leaving upstream must get its last
    /// request.
    LIST_OLD = "E7015" "list_old" Warn ["age_ms"];
    /// The age of the list of upstreams is within that bound again.
    LIST_CURRENT = "E7016" "list_current" Info ["old_ms"];
    /// A read of the deployment's log timed out without an answer.
    READ_UNANSWERED = "E7017" "read_unanswered" Info ["stream"];

    /// A request ended with an upstream's answer.
    PASSED_ON = "E7101" "passed_on" Info ["request", "fingerprint", "route", "instance", "status", "attempts", "turn_ms", "first_ms", "total_ms", "list_ms", "layout", "whole"];
    /// A request was refused as not run.
    TURNED_DOWN = "E7102" "turned_down" Warn ["request", "fingerprint", "route", "reason", "status", "retry_ms", "attempts", "age_ms", "layout"];
    /// A request failed, and may have run.
    UNSETTLED = "E7103" "unsettled" Warn ["request", "fingerprint", "route", "instance", "reason", "status", "attempts", "age_ms", "list_ms", "layout"];
    /// One attempt of a request failed.
    ATTEMPT_LOST = "E7104" "attempt_lost" Info ["request", "fingerprint", "instance", "step", "ran", "age_ms", "list_ms", "again", "error"];
    /// The caller left before its answer was whole.
    CALLER_LEFT = "E7105" "caller_left" Info ["request", "fingerprint", "route", "instance", "age_ms"];
    /// A side does not answer.
    SIDE_LOST = "E7106" "side_lost" Warn ["side", "error"];
    /// A side answers again.
    SIDE_BACK = "E7107" "side_back" Info ["side", "silent_ms"];
    /// An upstream said itself that it is leaving.
    SEEN_LEAVING = "E7108" "seen_leaving" Info ["instance", "sign"];
    /// Lines of the log were left out.
    LINES_LEFT_OUT = "E7109" "lines_left_out" Warn ["lines"];
    /// The settings were read again.
    SETTINGS_SIGNAL = "E7110" "settings_signal" Info ["effect"];
    /// Part of a request's head could not be read.
    HEAD_UNREADABLE = "E7111" "head_unreadable" Warn ["request", "parts"];
    /// The side that gathers figures for others does not answer.
    RELAY_LOST = "E7112" "relay_lost" Warn ["relay", "centre", "error"];
    /// Another side gathers figures from now on.
    RELAY_CHOSEN = "E7113" "relay_chosen" Info ["relay", "engines"];
    /// An upstream ended while requests were under way there.
    UPSTREAM_ENDED = "E7114" "upstream_ended" Warn ["instance", "sign", "requests"];
    /// Several upstreams ended under a request.
    REQUEST_SUSPECTED = "E7115" "request_suspected" Warn ["fingerprint", "ends", "source"];
    /// A request under which several upstreams ended was served.
    REQUEST_CLEARED = "E7116" "request_cleared" Info ["fingerprint", "ends"];
    /// Permission was asked to send such a request once.
    TRIAL_ASKED = "E7117" "trial_asked" Warn ["request", "fingerprint", "ends", "side", "granted", "retry_ms"];
    /// An upstream turned a request away and wants nothing for a time.
    UPSTREAM_RESTS = "E7118" "upstream_rests" Info ["instance", "told_ms", "held_ms"];
    /// An upstream told a time to come back that can't be read.
    RETRY_UNREADABLE = "E7119" "retry_unreadable" Warn ["instance"];
    /// An upstream announced a rate limit or changed it.
    LIMIT_NAMED = "E7120" "limit_named" Warn ["instance", "per_1000_s"];
    /// An upstream no longer announces a rate limit.
    LIMIT_ENDED = "E7121" "limit_ended" Info ["instance", "held_ms"];
    /// An upstream sent a malformed rate limit.
    LIMIT_UNREADABLE = "E7122" "limit_unreadable" Warn ["instance"];

    /// The engine does not answer its side.
    OWN_ENGINE_LOST = "E7201" "own_engine_lost" Warn ["address", "error"];
    /// The engine answers its side, or is another instance.
    OWN_ENGINE_SEEN = "E7202" "own_engine_seen" Info ["instance", "sequence", "held"];
    /// An order goes to the engine.
    ORDER_SENT = "E7203" "order_sent" Info ["order", "adapter", "version", "sequence"];
    /// The exchange of an order ended.
    ORDER_ENDED = "E7204" "order_ended" Info ["order", "adapter", "end", "took_ms", "error"];
    /// A request has its turn.
    ENGINE_TURN = "E7205" "engine_turn" Info ["request", "adapter", "hold", "waited_ms", "unread", "rate"];
    /// A request gets no turn here.
    ENGINE_TURN_REFUSED = "E7206" "engine_turn_refused" Info ["request", "adapter", "hold", "reason", "waited_ms", "unread", "rate", "retry_ms"];
    /// The engine is not the instance that the list names at its address.
    OWN_ENGINE_DENIED = "E7207" "own_engine_denied" Warn ["instance"];
    /// An entry asked for permission to send a request under which upstreams ended.
    TRIAL_DECIDED = "E7208" "trial_decided" Warn ["entry", "fingerprint", "ends", "granted", "retry_ms"];
}
