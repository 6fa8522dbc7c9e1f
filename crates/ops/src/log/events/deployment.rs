//! Events from E7000: deployments that read their whole configuration from a keyed log.

use super::super::event::{Event, events};
use crate::Level;

events! {
    /// A stream of the deployment's log does not respond.
    STORE_LOST = "E7001" "store_lost" Warn ["stream", "error"];
    /// A stream of the deployment's log was read to its end.
    STORE_READ = "E7002" "store_read" Info ["stream", "records"];
    /// A record of the deployment's log can't be decoded.
    RECORD_UNREADABLE = "E7003" "record_unreadable" Error ["error"];
    /// A configuration took effect.
    LAYOUT_TAKEN = "E7004" "layout_taken" Info ["number"];
    /// A configuration was ignored because it is older than the current one.
    LAYOUT_STALE = "E7005" "layout_stale" Warn ["number"];
    /// A newer version of an adapter was announced.
    VERSION_TAKEN = "E7006" "version_taken" Info ["adapter", "version"];
    /// An upstream was listed, or its state changed.
    UPSTREAM_LISTED = "E7007" "upstream_listed" Info ["instance", "standing"];
    /// An upstream was removed.
    UPSTREAM_GONE = "E7008" "upstream_gone" Info ["instance"];
    /// An upstream's list entry expired around an outage of the list.
    UPSTREAM_LAPSED = "E7009" "upstream_lapsed" Warn ["instance", "stays_ms"];
    /// A stream of the deployment's log responds again.
    STORE_BACK = "E7010" "store_back" Info ["stream", "down_ms"];
    /// An upstream restarted under the same name.
    LISTED_AGAIN = "E7011" "listed_again" Warn ["instance", "standing"];
    /// An upstream's list entry is older than one already read.
    ENTRY_OUTDATED = "E7012" "entry_outdated" Info ["instance"];
    /// The deployment's log was restored from an older copy.
    STORE_RENEWED = "E7013" "store_renewed" Warn ["stream", "era_before", "offset_before", "era"];
    /// The deployment's log sent an invalid era.
    ERA_UNCLEAR = "E7014" "era_unclear" Warn ["stream"];
    /// The list of upstreams is older than the time after which a leaving upstream must get no more
    /// requests.
    LIST_OLD = "E7015" "list_old" Warn ["age_ms"];
    /// The list of upstreams is recent enough again.
    LIST_CURRENT = "E7016" "list_current" Info ["old_ms"];
    /// A read of the deployment's log timed out without a response.
    READ_UNANSWERED = "E7017" "read_unanswered" Info ["stream"];
    /// The configuration was not confirmed for so long that keys are no longer accepted.
    KEYS_OUTDATED = "E7018" "keys_outdated" Warn ["age_ms", "layout"];
    /// The configuration is confirmed again, and keys are accepted.
    KEYS_CURRENT = "E7019" "keys_current" Info ["refused_ms", "layout"];
    /// The whole state of a stream has still not been read.
    STATE_MISSING = "E7020" "state_missing" Warn ["stream", "waited_ms"];
    /// The entry of an upstream returned after it had lapsed.
    UPSTREAM_RETURNED = "E7021" "upstream_returned" Info ["instance"];

    /// A request ended with the response of an upstream.
    PASSED_ON = "E7101" "passed_on" Info ["request", "fingerprint", "prompt_parts", "route", "account", "objective_ms", "instance", "status", "attempts", "turn_ms", "first_ms", "total_ms", "pause_ms", "pause_limit_ms", "list_ms", "layout", "whole", "framing", "error", "caller_http"];
    /// A request was rejected without having run.
    TURNED_DOWN = "E7102" "turned_down" Warn ["request", "fingerprint", "prompt_parts", "route", "account", "objective_ms", "reason", "status", "retry_ms", "attempts", "age_ms", "layout"];
    /// A request failed and may have run.
    UNSETTLED = "E7103" "unsettled" Warn ["request", "fingerprint", "prompt_parts", "route", "account", "objective_ms", "instance", "reason", "status", "attempts", "age_ms", "list_ms", "layout"];
    /// One attempt of a request failed.
    ATTEMPT_LOST = "E7104" "attempt_lost" Info ["request", "fingerprint", "prompt_parts", "account", "objective_ms", "instance", "step", "ran", "age_ms", "list_ms", "again", "error"];
    /// The caller disconnected before its response was complete.
    CALLER_LEFT = "E7105" "caller_left" Info ["request", "fingerprint", "prompt_parts", "route", "account", "objective_ms", "instance", "age_ms"];
    /// A side does not respond.
    SIDE_LOST = "E7106" "side_lost" Warn ["side", "error"];
    /// A side responds again.
    SIDE_BACK = "E7107" "side_back" Info ["side", "silent_ms"];
    /// An upstream announced that it is leaving.
    SEEN_LEAVING = "E7108" "seen_leaving" Info ["instance", "sign"];
    /// Log lines were omitted because of the rate limit.
    LINES_LEFT_OUT = "E7109" "lines_left_out" Warn ["lines"];
    /// SIGHUP was received; flags and environment apply until the next start.
    SETTINGS_SIGNAL = "E7110" "settings_signal" Info ["effect"];
    /// Part of a request head could not be parsed.
    HEAD_UNREADABLE = "E7111" "head_unreadable" Warn ["request", "parts"];
    /// The relay, a side that collects load reports for others, does not respond.
    RELAY_LOST = "E7112" "relay_lost" Warn ["relay", "centre", "error"];
    /// Another side was chosen as the relay.
    RELAY_CHOSEN = "E7113" "relay_chosen" Info ["relay", "engines"];
    /// An upstream ended with requests in flight.
    UPSTREAM_ENDED = "E7114" "upstream_ended" Warn ["instance", "sign", "requests"];
    /// Several upstreams ended while they ran the same request.
    REQUEST_SUSPECTED = "E7115" "request_suspected" Warn ["fingerprint", "kind", "ends", "source"];
    /// A request suspected of ending upstreams was served without one ending.
    REQUEST_CLEARED = "E7116" "request_cleared" Info ["fingerprint", "kind", "ends"];
    /// A gateway asked for permission to send a suspected request once.
    TRIAL_ASKED = "E7117" "trial_asked" Warn ["request", "fingerprint", "kind", "part", "ends", "side", "granted", "retry_ms"];
    /// An upstream rejected a request and asked for no more requests for a time.
    UPSTREAM_RESTS = "E7118" "upstream_rests" Info ["instance", "told_ms", "held_ms"];
    /// An upstream sent a malformed retry time.
    RETRY_UNREADABLE = "E7119" "retry_unreadable" Warn ["instance"];
    /// An upstream announced a rate limit or changed it.
    LIMIT_NAMED = "E7120" "limit_named" Warn ["instance", "per_1000_s"];
    /// An upstream no longer announces a rate limit.
    LIMIT_ENDED = "E7121" "limit_ended" Info ["instance", "held_ms"];
    /// An upstream sent a malformed rate limit.
    LIMIT_UNREADABLE = "E7122" "limit_unreadable" Warn ["instance"];
    /// Another agent grants units of accounts' allowances to this gateway.
    POOL_CHOSEN = "E7123" "pool_chosen" Info ["pool", "gateways"];
    /// The agent that grants units of accounts' allowances did not answer.
    POOL_LOST = "E7124" "pool_lost" Warn ["pool", "error"];
    /// Requests of an account exceed its allowance.
    ALLOWANCE_EXCEEDED = "E7125" "allowance_exceeded" Warn ["account", "retry_ms"];
    /// Requests of an account are within its allowance again.
    ALLOWANCE_KEPT = "E7126" "allowance_kept" Info ["account", "exceeded_ms", "refused"];
    /// A request is sent to its service once more.
    REQUEST_REPEATED = "E7127" "request_repeated" Info ["request", "service", "cause", "remaining", "gateways"];
    /// The limit of repeats stopped one, for the first time since it was kept.
    REPEATS_STOPPED = "E7128" "repeats_stopped" Warn ["service", "gateways"];
    /// The limit of repeats has stopped none for some seconds.
    REPEATS_KEPT = "E7129" "repeats_kept" Info ["service", "stopped_ms", "stopped"];
    /// Agents report another number of gateways than before.
    GATEWAYS_COUNTED = "E7130" "gateways_counted" Info ["gateways", "before"];
    /// A request is sent to an upstream that goes on with a stream.
    STREAM_RESUMED = "E7131" "stream_resumed" Info ["request", "origin", "by", "after", "instance", "software"];
    /// The origin of a stream was found that its caller takes up again.
    ORIGIN_FOUND = "E7132" "origin_found" Info ["request", "origin", "source", "age_ms", "software"];
    /// A software version of a service is registered, so that resumable streams may begin at it.
    SOFTWARE_REGISTERED = "E7133" "software_registered" Info ["service", "software"];
    /// Another agent grants slots of plain upstreams' limits to this gateway.
    LIMIT_POOL_CHOSEN = "E7138" "limit_pool_chosen" Info ["pool", "gateways"];
    /// The agent that grants slots of plain upstreams' limits did not answer.
    LIMIT_POOL_LOST = "E7139" "limit_pool_lost" Warn ["pool", "error"];
    /// A response does not show that it is the upstream's response to the request.
    RESPONSE_UNATTRIBUTED = "E7140" "response_unattributed" Warn ["request", "instance", "status", "cause"];
    /// A caller's connection was closed or refused because there was no room for it.
    CONNECTION_TURNED_AWAY = "E7141" "connection_turned_away" Warn ["peer", "cause"];
    /// The configuration allows longer bodies than the memory for callers can hold.
    BODY_LIMIT_LOWERED = "E7142" "body_limit_lowered" Error ["configured", "limit"];
    /// Fewer connections of callers are accepted than configured, because of the descriptors.
    CONNECTIONS_LOWERED = "E7143" "connections_lowered" Warn ["configured", "limit"];

    /// The engine does not respond to its side.
    OWN_ENGINE_LOST = "E7201" "own_engine_lost" Warn ["address", "error"];
    /// The engine responds to its side, or is a different instance than before.
    OWN_ENGINE_SEEN = "E7202" "own_engine_seen" Info ["instance", "sequence", "held"];
    /// A load or unload order was sent to the engine.
    ORDER_SENT = "E7203" "order_sent" Info ["order", "adapter", "version", "sequence"];
    /// The call that carried an order ended.
    ORDER_ENDED = "E7204" "order_ended" Info ["order", "adapter", "end", "took_ms", "error"];
    /// A request was admitted to the engine.
    ENGINE_TURN = "E7205" "engine_turn" Info ["request", "adapter", "account", "hold", "waited_ms", "unread", "rate"];
    /// A request was not admitted to the engine.
    ENGINE_TURN_REFUSED = "E7206" "engine_turn_refused" Info ["request", "adapter", "account", "hold", "reason", "waited_ms", "unread", "rate", "retry_ms"];
    /// The engine is not the instance that the list has at its address.
    OWN_ENGINE_DENIED = "E7207" "own_engine_denied" Warn ["instance"];
    /// A request for permission to send a suspected request was decided.
    TRIAL_DECIDED = "E7208" "trial_decided" Warn ["entry", "fingerprint", "kind", "ends", "granted", "retry_ms"];
}
