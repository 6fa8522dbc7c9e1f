//! The macro that declares the settings of a daemon.

/// Declares the settings of a daemon, each with its help text, name, type, default and unit.
///
/// Generates a struct of the given name with a field for each setting and the field `common`. Use the
/// trait [`Settings`](crate::Settings) to read it. A setting with the default `""` is required, unless
/// its type accepts an empty text. The calling crate must depend on `argh`.
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
            /// Settings common to all daemons.
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
                    /// most verbose level that is logged
                    #[argh(option)]
                    log_level: Option<String>,
                    /// format of a log line
                    #[argh(option)]
                    log_format: Option<String>,
                    /// address of the admin listener
                    #[argh(option)]
                    admin: Option<String>,
                    /// longest wait for requests in flight after the first stop signal
                    #[argh(option)]
                    drain_limit: Option<String>,
                    /// descriptors that the process may have open; without it, the system's limit
                    #[argh(option)]
                    descriptor_limit: Option<String>,
                    $($(#[doc = $help])+ #[argh(option)] $field: Option<String>,)*
                }
                let flags = <Flags as $crate::argh::FromArgs>::from_args(&[program], args)?;
                let values = [
                    ("vm", flags.vm),
                    ("data_centre", flags.data_centre),
                    ("region", flags.region),
                    ("log_level", flags.log_level),
                    ("log_format", flags.log_format),
                    ("admin", flags.admin),
                    ("drain_limit", flags.drain_limit),
                    ("descriptor_limit", flags.descriptor_limit),
                    $((stringify!($field), flags.$field),)*
                ];
                let values = values.into_iter().filter_map(|(name, text)| Some((name, text?)));
                Ok(values.collect())
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
