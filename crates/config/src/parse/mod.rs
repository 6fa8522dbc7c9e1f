//! Parser of configurations: merges several TOML files into one, and reports all faults at once.
//!
//! Each file is parsed with error recovery, so that one syntax error doesn't hide others. Tables of
//! the files are merged by name; a name may be declared only once, and the fault for a duplicate
//! gives both places. Fields of the wrong type get a placeholder value, so that they don't cause
//! further faults. Faults found by validation are reported at the line of their field.

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

/// Parses the files into one configuration.
///
/// # Errors
/// All [`Faults`], sorted by file, line and field.
pub fn parse(sources: &[Source<'_>]) -> Result<Config, Faults> {
    let mut found = Declarations::default();
    for source in sources {
        let text = Text::new(*source);
        text.scan(&mut found);
    }
    let Declarations {
        config,
        mut diagnostics,
    } = found;
    for fault in check(&config) {
        if !diagnostics.is_consequence(&fault) {
            let place = diagnostics.place(&fault.field);
            diagnostics.faults.push(Fault { place, ..fault });
        }
    }
    let mut faults = diagnostics.faults;
    if faults.is_empty() {
        return Ok(config);
    }
    faults.sort();
    faults.dedup();
    Err(Faults(faults))
}
