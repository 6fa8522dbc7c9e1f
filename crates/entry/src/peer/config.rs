//! Requests for the configuration from sides and starting entries.

use pumicecleat_types::{ConfigAsk, ConfigReply};

use crate::shared::Shared;

pub(super) fn handle_request(shared: &Shared, request: ConfigAsk) -> ConfigReply {
    shared.config.reply(request)
}
