//! Loads that are believed only when the engine shows the LoRA as resident.

use std::time::Duration;

use super::order::UnconfirmedSnafu;
use super::{Engine, Order, OrderError};

/// A LoRA that the engine shows as resident.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedLoad {
    /// All engine names resident then.
    pub resident: Vec<String>,
    /// Engine had not accepted this order: the LoRA was there already, or the reply was lost.
    pub already_resident: bool,
}

/// Orders a load and asks the engine whether it is resident, whatever the engine said.
///
/// # Errors
/// [`OrderError`] if the LoRA is not shown as resident.
pub async fn load_and_confirm(
    engine: &dyn Engine,
    order: Order<'_>,
    span: Duration,
) -> Result<ConfirmedLoad, OrderError> {
    let said = engine.load(order, span).await;
    let doubtful = OrderError::is_doubtful;
    if said.as_ref().is_err_and(|e| !doubtful(e)) {
        return said.map(|()| ConfirmedLoad::default());
    }
    let shown = engine.resident().await;
    let accepted = said.is_ok();
    match shown {
        Ok(resident) if resident.iter().any(|r| r == order.lora) => {
            let already_resident = !accepted;
            Ok(ConfirmedLoad {
                resident,
                already_resident,
            })
        }
        Ok(_) => {
            said?;
            let lora = order.lora;
            let peer = engine.peer();
            UnconfirmedSnafu { peer, lora }.fail()
        }
        Err(source) => {
            said?;
            Err(OrderError::Lost { source })
        }
    }
}
