// The daemon's settings: flags, each with an environment variable.
#ifndef TARRAGONDRIFT_DAEMON_SETTINGS_H_
#define TARRAGONDRIFT_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "tarragondrift/fleet/mechanism_base.h"

namespace tarragondrift {

/// Mode of the process, chosen by a flag.
enum class run_mode : uint8_t { kServe, kServeFleet, kCheck, kHelp, kVersion };

/// All settings of one entry process.
struct settings {
  run_mode mode = run_mode::kServe;
  std::string environment = "production";
  /// Name of the data centre, as in the configuration document.
  std::string data_centre;
  /// Number of the data centre in submission ids; it must never change.
  uint16_t data_centre_number = 0;
  /// Listening addresses, "IP:port".
  std::string callers;
  std::string operators;
  std::string peers;
  std::string table_url;
  std::string objects_url;
  std::string instances_url;
  /// Path of the log file, or "-" for standard error.
  std::string log = "-";
  /// Bearer token of operators; empty when none is required.
  std::string operator_token;
  /// Bearer token of peers; empty when none is required.
  std::string peer_token;
  uint32_t max_connections = 1'000;
  /// Memory of the machine; 0 for what the system tells.
  uint32_t memory_mb = 0;
  uint32_t upstream_threads = 2;
  std::chrono::milliseconds drain_timeout{30'000};
  std::chrono::milliseconds poll_interval{1'000};
  /// Port of the metrics page of an entry that controls workers.
  uint16_t metrics_port = 9'464;
  std::string peer_proxy;
  /// Whether such an entry shares scarce capacity among kinds of jobs.
  bool share_capacity = false;
  /// Mechanisms of such an entry that are switched off, for experiments.
  fleet::mechanism_set without;
};

/// The settings, and every error found in them.
struct parsed_settings {
  settings value;
  std::vector<std::string> errors;
};

/// Looks up an environment variable; returns nullptr when it is not set.
using environment_lookup = std::function<const char*(const char*)>;

/// Parses and checks the settings. A flag takes precedence over its environment
/// variable.
parsed_settings ParseSettings(std::vector<std::string> arguments,
                              const environment_lookup& lookup);

/// Returns the text of --help.
std::string SettingsHelp();

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_SETTINGS_H_
