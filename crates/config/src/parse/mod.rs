//! Files to configuration: several TOML files make one whole, and every fault is reported at once.
//!
//! Each file is read with recovery, so that one syntax error doesn't hide the rest. Tables of the
//! files merge by name; a name stands in one place only, and a second one names both places.
//! Fields of the wrong type get a stand-in value, so that they don't cause further faults; what
//! the checks of the whole say is placed at the line of the field meant.

mod declare;
mod fields;
mod notes;
mod source;
mod value;

use crate::check::check;
use crate::fault::{Fault, Faults};
use crate::model::Config;

use declare::Declarations;
use source::Text;

pub use source::Source;

/// Configuration that the files make together.
///
/// # Errors
/// [`Faults`], all of them, by file, line and field.
pub fn parse(sources: &[Source<'_>]) -> Result<Config, Faults> {
    let mut found = Declarations::default();
    for source in sources {
        let text = Text::new(*source);
        text.scan(&mut found);
    }
    let Declarations { config, mut notes } = found;
    for fault in check(&config) {
        if !notes.explain(&fault) {
            let place = notes.place(&fault.field);
            notes.faults.push(Fault { place, ..fault });
        }
    }
    let mut faults = notes.faults;
    if faults.is_empty() {
        return Ok(config);
    }
    faults.sort();
    faults.dedup();
    Err(Faults(faults))
}
