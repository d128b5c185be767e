//! Settings: the error for an invalid one names the flag, the value and what is allowed.

use std::ffi::OsString;

use magnolia_daemon::DaemonSettings;

const VALID: [&str; 6] = [
    "--daemon=d1",
    "--data-centre=dc1",
    "--listen=127.0.0.1:7700",
    "--inner-listen=127.0.0.1:7701",
    "--log=127.0.0.1:7800",
    "--instances=127.0.0.1:7801",
];

/// Parses settings from arguments after the program name.
fn read(args: &[&str]) -> Result<DaemonSettings, String> {
    let program = std::iter::once("magnoliad");
    let args = program.chain(args.iter().copied()).map(OsString::from);
    DaemonSettings::from_args(args).map_err(|error| error.to_string())
}

/// Returns the valid arguments with `flag` in place of the one of the same name, or added.
fn with(flag: &str) -> Vec<&str> {
    let name = flag.split('=').next().unwrap_or(flag);
    let others = VALID.iter().copied();
    let others = others.filter(|other| other.split('=').next() != Some(name));
    others.chain(std::iter::once(flag)).collect()
}

macro_rules! setting_cases {
    ($($name:ident: $flag:literal => $($part:literal),+;)*) => {
        $(
            #[test]
            fn $name() {
                let message = read(&with($flag)).expect_err("an invalid setting");
                $(assert!(message.contains($part), "{message}");)+
            }
        )*
    };
}

// Each case guards against a daemon that starts with an invalid setting, or whose error does not
// name the setting.
setting_cases! {
    invalid_name: "--daemon=d 1" => "--daemon", "d 1", "ASCII letters";
    empty_data_centre: "--data-centre=" => "--data-centre", "";
    no_port: "--listen=127.0.0.1" => "--listen", "127.0.0.1", "allowed: an IP address and a port";
    port_zero: "--inner-listen=127.0.0.1:0" => "--inner-listen", "127.0.0.1:0", "port from 1";
    host_name: "--log=log.example:7800" => "--log", "log.example:7800", "IP address";
    same_address: "--inner-listen=127.0.0.1:7700" => "--inner-listen", "127.0.0.1:7700", "another address";
    unreachable_address: "--inner-listen=0.0.0.0:7701" => "--inner-advertise", "0.0.0.0:7701", "one host";
    short_retention: "--log-retention-ms=5" => "--log-retention-ms", "5", "10000 or more";
    invalid_retention: "--log-retention-ms=soon" => "--log-retention-ms", "soon", "whole number";
    invalid_level: "--log-level=loud" => "--log-level", "loud", "possible values: off, error";
    unknown_flag: "--colour=red" => "--colour";
}

/// Guards the other cases against settings that are refused for a different reason.
#[test]
fn valid_settings_are_read() {
    let settings = read(&VALID).expect("valid settings");
    assert_eq!(settings.inner_advertise, settings.inner_listen);
    let all = read(&with("--inner-listen=0.0.0.0:7701"));
    assert!(all.is_err());
    let mut args = with("--inner-listen=0.0.0.0:7701");
    args.push("--inner-advertise=127.0.0.1:7701");
    read(&args).expect("an advertised address");
}

/// Guards against a flag without an environment variable.
#[test]
fn every_flag_has_an_environment_variable() {
    for argument in DaemonSettings::command().get_arguments() {
        let name = argument.get_id().as_str();
        if ["help", "version"].contains(&name) {
            continue;
        }
        let variable = argument.get_env().and_then(|name| name.to_str());
        let expected = format!("MAGNOLIA_{}", name.to_uppercase().replace('-', "_"));
        assert_eq!(variable, Some(expected.as_str()));
    }
}
