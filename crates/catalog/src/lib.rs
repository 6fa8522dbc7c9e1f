//! What a deployment serves, as it stands in a log with keys: one configuration that comes whole
//! and numbered, versions of adapters, and the list of upstreams.
//!
//! [`Catalog`] is the state, [`follow`] keeps it up to date. A configuration with a lower number
//! than the one in force is never taken, so a process can't step back; before the first one
//! the catalog is empty, and the process knows that it knows nothing.
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

mod age;
mod availability;
mod change;
mod complete_read;
mod expire;
mod follow;
mod lapsed;
mod layout;
mod marks;
mod newest_entries;
mod read_schedule;
mod report;
mod state;
mod unreadable;
mod upstream;

pub use age::watch_list_age;
pub use change::{Change, DecodeError, RecordDecoder, Topic};
pub use expire::expire_lapsed;
pub use follow::{CatalogListener, FollowContext, FollowSettings, SharedCatalog, follow};
pub use layout::{BaseModel, Engine, Layout, Limits, RetryMode, Route, Service, WeightedService};
pub use marks::Marks;
pub use state::{Applied, Catalog};
pub use unreadable::UnreadableKeys;
pub use upstream::{Standing, Upstream};
