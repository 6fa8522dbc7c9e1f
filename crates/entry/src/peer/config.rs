//! Records of the configuration for sides and starting entries.

use pumicecleat_types::{ConfigAsk, ConfigReply};

use crate::shared::Shared;

pub(super) fn answer(shared: &Shared, ask: ConfigAsk) -> ConfigReply {
    shared.config.reply(ask)
}
