//! The macro that declares a daemon's settings.

/// Declares a daemon's settings, one row each: help, name, type, default and unit.
///
/// A struct of the given name comes out, with the rows as fields beside `common`; read it by
/// [`Settings`](crate::Settings). A row whose type can't be empty and whose default is `""` has to
/// be given. The calling crate needs `argh` among its dependencies.
#[macro_export]
macro_rules! settings {
    (
        $(#[doc = $about:literal])+
        $vis:vis struct $name:ident {
            $($(#[doc = $help:literal])+ $field:ident: $kind:ty = $default:literal, $unit:literal;)*
        }
    ) => {
        $(#[doc = $about])+
        #[derive(Clone, Debug)]
        $vis struct $name {
            /// Settings that every daemon has.
            pub common: $crate::CommonSettings,
            $($(#[doc = $help])+ pub $field: $kind,)*
        }

        impl $crate::Settings for $name {
            fn specs() -> ::std::vec::Vec<$crate::SettingSpec> {
                let mut specs = $crate::CommonSettings::specs();
                specs.extend([$($crate::SettingSpec {
                    name: stringify!($field),
                    default: $default,
                    unit: $unit,
                },)*]);
                specs
            }

            fn parse_flag(
                program: &str,
                args: &[&str],
            ) -> ::std::result::Result<
                ::std::collections::BTreeMap<&'static str, String>,
                $crate::argh::EarlyExit,
            > {
                $(#[doc = $about])+
                #[derive($crate::argh::FromArgs)]
                struct Flags {
                    /// name of this VM
                    #[argh(option)]
                    vm: Option<String>,
                    /// data centre of this VM
                    #[argh(option)]
                    data_centre: Option<String>,
                    /// region of this VM
                    #[argh(option)]
                    region: Option<String>,
                    /// highest level logged
                    #[argh(option)]
                    log_level: Option<String>,
                    /// form of a log line
                    #[argh(option)]
                    log_format: Option<String>,
                    /// address of the admin listener
                    #[argh(option)]
                    admin: Option<String>,
                    /// longest wait for open requests after the first signal
                    #[argh(option)]
                    drain_limit: Option<String>,
                    $($(#[doc = $help])+ #[argh(option)] $field: Option<String>,)*
                }
                let flags = <Flags as $crate::argh::FromArgs>::from_args(&[program], args)?;
                let given = [
                    ("vm", flags.vm),
                    ("data_centre", flags.data_centre),
                    ("region", flags.region),
                    ("log_level", flags.log_level),
                    ("log_format", flags.log_format),
                    ("admin", flags.admin),
                    ("drain_limit", flags.drain_limit),
                    $((stringify!($field), flags.$field),)*
                ];
                let given = given.into_iter().filter_map(|(name, text)| Some((name, text?)));
                Ok(given.collect())
            }

            fn resolve(resolver: &mut $crate::Resolver<'_>) -> ::std::option::Option<Self> {
                let common = $crate::CommonSettings::resolve(resolver);
                $(let $field = resolver.value(stringify!($field));)*
                Some(Self {
                    common: common?,
                    $($field: $field?,)*
                })
            }
        }
    };
}
