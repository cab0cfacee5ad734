//! Tests of an entry's settings file.

#![allow(clippy::unwrap_used)]

use mgw_entry::EntrySettings;
use mgw_route::PrefixRule;

/// The rule for cached prefixes in a settings file with this line.
fn prefix_rule(line: &str) -> Option<PrefixRule> {
    let text = format!(
        "name = \"entry-1\"\nvm = \"vm-1\"\nplace = \"a\"\nregion = \"r\"\n\
         listen = \"127.0.0.1:1\"\npeer_listen = \"127.0.0.1:2\"\n{line}\n"
    );
    let settings = mgw_settings::parse::<EntrySettings>("entry.toml", &text);
    settings.ok().map(|it| it.prefix_rule)
}

#[test]
fn prefixes_are_weighed_only_if_the_settings_say_so() {
    assert_eq!(prefix_rule(""), Some(PrefixRule::WithinLoadLimit));
    assert_eq!(
        prefix_rule("prefix_rule = \"within_load_limit\""),
        Some(PrefixRule::WithinLoadLimit)
    );
    assert_eq!(
        prefix_rule("prefix_rule = \"weighed\""),
        Some(PrefixRule::Weighed)
    );
    assert_eq!(prefix_rule("prefix_rule = \"other\""), None);
}
