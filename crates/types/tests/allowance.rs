//! Encoding of calls to the agent that grants allowances and slots of limits.

use pumicecleat_types::{AllowanceCall, decode, encode};
use serde_json::Value;

/// Guards against a field that agents of earlier versions don't know in calls for accounts.
#[test]
fn calls_for_accounts_do_not_name_limits() {
    for is_limit in [false, true] {
        let call = AllowanceCall {
            entries: 3,
            is_limit,
            ..AllowanceCall::default()
        };
        let bytes = encode(&call);
        assert_eq!(decode::<AllowanceCall>(&bytes).unwrap(), call);
        let fields: Value = decode(&bytes).unwrap();
        assert_eq!(fields.get("is_limit").is_some(), is_limit, "{fields}");
    }
}
