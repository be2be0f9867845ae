//! Writes settings as the text of an INI file.

use crate::schema::settings::Settings;

/// Renders settings so that `parse_settings` gives them back.
pub fn render_settings(cfg: &Settings) -> String {
    let roots: Vec<String> = cfg
        .trust
        .root_keys
        .iter()
        .map(ToString::to_string)
        .collect();
    format!(
        "[node]\nvm = {}\nregion = {}\nzone = {}\nrack = {}\n\n\
         [listen]\ncallers = {}\npeers = {}\nadmin = {}\n\n\
         [platform]\nstore = {}\nvms = {}\nstore_timeout_ms = {}\nvms_poll_ms = {}\n\n\
         [trust]\nsite = {}\nroot_keys = {}\n\n\
         [log]\nformat = {}\nlevel = {}\n",
        cfg.node.vm,
        cfg.node.region,
        cfg.node.zone,
        cfg.node.rack,
        cfg.listen.callers,
        cfg.listen.peers,
        cfg.listen.admin,
        cfg.platform.store,
        cfg.platform.vms,
        cfg.platform.store_timeout_ms,
        cfg.platform.vms_poll_ms,
        cfg.trust.site,
        roots.join(", "),
        cfg.log.format,
        cfg.log.level,
    )
}
