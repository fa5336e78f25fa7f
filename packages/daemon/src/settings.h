// The daemon's settings: flags, each with an environment variable.
#ifndef TARRAGONDRIFT_DAEMON_SETTINGS_H_
#define TARRAGONDRIFT_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace tarragondrift {

/// What the process is asked to do.
enum class run_mode : uint8_t { kServe, kServeFleet, kCheck, kHelp, kVersion };

/// All settings of one entry process.
struct settings {
  run_mode mode = run_mode::kServe;
  std::string environment = "production";
  /// Name of the data centre, as in the configuration document.
  std::string data_centre;
  /// Number of the data centre in submission ids; the same for ever.
  uint16_t data_centre_number = 0;
  /// "IP:port" each.
  std::string callers;
  std::string operators;
  std::string peers;
  std::string table_url;
  std::string objects_url;
  std::string instances_url;
  /// A file, or "-" for standard error.
  std::string log = "-";
  /// Empty when operators need none.
  std::string operator_token;
  /// Empty when peers need none.
  std::string peer_token;
  uint32_t max_connections = 1'000;
  uint32_t upstream_threads = 2;
  std::chrono::milliseconds drain_timeout{30'000};
  std::chrono::milliseconds poll_interval{1'000};
  /// Port of the metrics page of an entry that controls workers.
  uint16_t metrics_port = 9'464;
};

/// Settings, or all that is wrong with them.
struct parsed_settings {
  settings value;
  std::vector<std::string> errors;
};

/// Looks up an environment variable; nullptr when it is not set.
using environment_lookup = std::function<const char*(const char*)>;

/// Reads the settings from flags first and environment variables second, and
/// checks every one.
parsed_settings ParseSettings(std::vector<std::string> arguments,
                              const environment_lookup& lookup);

/// Gives the text of --help.
std::string SettingsHelp();

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_SETTINGS_H_
