//! The configuration of the own interface as the request path reads it.

use ferry_decisions::config::{ConfigFold, ConfigView};

/// Guards against a configuration that holds no key and lets everybody in.
#[test]
fn a_configuration_without_keys_knows_no_caller() {
    for view in [
        ConfigView::default(),
        ConfigView::build(&ConfigFold::default()),
    ] {
        assert_eq!(view.workspace_of_key(""), None);
        assert_eq!(view.workspace_of_key("unheard"), None);
    }
}
