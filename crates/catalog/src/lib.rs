//! Catalog of a deployment: routes and services, adapter versions and upstreams, built from a log of keyed
//! records.
//!
//! [`Catalog`] holds the state and [`follow()`] keeps it up to date. A configuration arrives as one numbered
//! [`Layout`]. A layout with a lower number than the one in force is rejected, so a process never goes back
//! to an older configuration. Until the first layout arrives, [`Catalog::layout`] returns `None`.
//!
//! ```
//! use pumicecleat_catalog::{Catalog, Change, Layout, Route};
//! use pumicecleat_types::Millis;
//!
//! let mut catalog = Catalog::default();
//! let route = Route::new("chat", "api.example", "/chat/");
//! let layout = Layout { number: 3, routes: vec![route], ..Layout::default() };
//! catalog.apply(Change::Layout(layout), Millis(0));
//! let route = catalog.layout().unwrap().find("api.example", "/chat/7").unwrap();
//! assert_eq!(route.name, "chat");
//! assert!(catalog.layout().unwrap().find("api.example", "/other/7").is_none());
//! ```

mod account;
mod age;
mod availability;
mod change;
mod change_log;
mod complete_read;
mod confirm;
mod confirmations;
mod expire;
mod follow;
mod lapsed;
mod layout;
mod leave;
mod mark;
mod marks;
mod newest_entries;
mod read_schedule;
mod report;
mod state;
mod unreadable;
mod upstream;

pub use account::{Account, AccountError, Accounts, Allowance, AllowanceUnit, KeyDigest};
pub use age::watch_list_age;
pub use change::{Change, DecodeError, RecordDecoder, Topic};
pub use confirm::{ConfirmSettings, confirm_layout, read_end};
pub use confirmations::Confirmations;
pub use expire::expire_lapsed;
pub use follow::{
    CatalogListener, FollowContext, FollowSettings, FollowSpans, SharedCatalog, follow,
};
pub use layout::{BaseModel, Engine, Layout, Limits, RetryMode, Route, Service, WeightedService};
pub use leave::{CONNECT_TIMEOUT, LeaveBudget};
pub use marks::Marks;
pub use state::{Applied, Catalog};
pub use unreadable::UnreadableKeys;
pub use upstream::{Standing, Upstream};
