//! Requests for the configuration from sides and starting entries.

use pumicecleat_types::{ConfigCall, ConfigReply};

use crate::shared::Shared;

pub(super) fn handle_request(shared: &Shared, request: ConfigCall) -> ConfigReply {
    shared.config.reply(request)
}
