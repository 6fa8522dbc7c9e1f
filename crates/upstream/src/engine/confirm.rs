//! Loads that count as done only once the engine lists the LoRA adapter as resident.

use std::time::Duration;

use super::order::UnconfirmedSnafu;
use super::{Engine, Order, OrderError};

/// A load after which the engine lists the LoRA adapter as resident.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedLoad {
    /// Engine names of all resident adapters.
    pub resident: Vec<String>,
    /// Whether the engine had not accepted this order: the adapter was already resident, or the
    /// response was lost.
    pub already_resident: bool,
}

/// Orders a load and checks that the engine lists the adapter as resident. Also checks after
/// errors that leave the outcome of the load uncertain.
///
/// # Errors
/// [`OrderError`] if the adapter is not listed as resident.
pub async fn load_and_confirm(
    engine: &dyn Engine,
    order: Order<'_>,
    timeout: Duration,
) -> Result<ConfirmedLoad, OrderError> {
    let load_result = engine.load(order, timeout).await;
    let is_uncertain = OrderError::is_uncertain;
    if load_result.as_ref().is_err_and(|e| !is_uncertain(e)) {
        return load_result.map(|()| ConfirmedLoad::default());
    }
    let listed = engine.resident().await;
    let accepted = load_result.is_ok();
    match listed {
        Ok(resident) if resident.iter().any(|r| r == order.lora) => {
            let already_resident = !accepted;
            Ok(ConfirmedLoad {
                resident,
                already_resident,
            })
        }
        Ok(_) => {
            load_result?;
            let lora = order.lora;
            let peer = engine.peer();
            UnconfirmedSnafu { peer, lora }.fail()
        }
        Err(source) => {
            load_result?;
            Err(OrderError::Lost { source })
        }
    }
}
