#include "settings.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>
#include <span>
#include <sstream>
#include <string_view>
#include <utility>

#include "tarragondrift/gate/address.h"

namespace tarragondrift {
namespace {

using std::chrono::milliseconds;

/// Parses the text of a setting and stores the value.
/// @return an error message; empty on success.
using setter = std::string (*)(settings&, const std::string&);

struct flag {
  const char* name;
  setter set;
  bool required;
  const char* help;
};

/// Parses a whole number from `min` to `max`.
template <class Number>
std::string SetNumber(Number& target, const std::string& text, uint64_t min,
                      uint64_t max) {
  uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  if (read.ec != std::errc{} || read.ptr != end || value < min || value > max) {
    return "is not a whole number from " + std::to_string(min) + " to " +
           std::to_string(max);
  }
  target = static_cast<Number>(value);
  return {};
}

/// Parses a duration in milliseconds from `min` to `max`.
std::string SetMilliseconds(milliseconds& target, const std::string& text,
                            milliseconds min, milliseconds max) {
  uint64_t value = 0;
  std::string error = SetNumber(value, text, min.count(), max.count());
  if (error.empty()) {
    target = milliseconds(value);
  }
  return error;
}

/// Parses "IP:port".
std::string SetAddress(std::string& target, const std::string& text) {
  if (!ParseAddress(text)) {
    return "is not an address of the form IP:port";
  }
  target = text;
  return {};
}

/// Parses the URL of a platform service.
std::string SetUrl(std::string& target, const std::string& text) {
  if (!text.starts_with("http://") && !text.starts_with("https://")) {
    return "is not an http:// or https:// URL";
  }
  target = text;
  return {};
}

/// Parses "on" or "off".
std::string SetSwitch(bool& target, const std::string& text) {
  if (text != "on" && text != "off") {
    return "is neither on nor off";
  }
  target = text == "on";
  return {};
}

/// Parses a list of mechanisms, separated by commas.
std::string SetWithout(fleet::mechanism_set& target, const std::string& text) {
  fleet::mechanism_set off;
  std::istringstream names(text);
  for (std::string name; std::getline(names, name, ',');) {
    const std::optional<fleet::mechanism> found = fleet::FindMechanism(name);
    if (!found) {
      std::ostringstream error;
      error << "names an unknown mechanism '" << name << "'; known are";
      for (const std::string_view one : fleet::kMechanismNames) {
        error << ' ' << one;
      }
      return error.str();
    }
    off.set(static_cast<size_t>(*found));
  }
  target = off;
  return {};
}

/// Parses a name of letters, digits, '-', '_' and '.'.
std::string SetName(std::string& target, const std::string& text) {
  const bool valid =
      !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
               c == '_' || c == '.';
      });
  if (!valid) {
    return "is not a name of letters, digits, '-', '_' and '.'";
  }
  target = text;
  return {};
}

/// Parses the name of an environment.
std::string SetEnvironment(std::string& target, const std::string& text) {
  if (text != "trial" && text != "production") {
    return "is neither 'trial' nor 'production'";
  }
  target = text;
  return {};
}

/// Accepts any text that is not empty.
std::string SetText(std::string& target, const std::string& text) {
  if (text.empty()) {
    return "is empty";
  }
  target = text;
  return {};
}

constexpr uint64_t kMaxDataCentreNumber = 65'535;
constexpr uint64_t kMaxPort = 65'535;
constexpr uint64_t kMaxConnections = 20'000;
constexpr uint64_t kMaxMemoryMb = 1U << 24U;
constexpr uint64_t kMaxUpstreamThreads = 64;
constexpr milliseconds kMaxDrainTimeout{3'600'000};
constexpr milliseconds kMinPollInterval{100};
constexpr milliseconds kMaxPollInterval{60'000};

constexpr std::array<flag, 21> kFlags{{
    {"environment",
     [](settings& to, const std::string& text) {
       return SetEnvironment(to.environment, text);
     },
     false, "trial or production (production)"},
    {"data-centre",
     [](settings& to, const std::string& text) {
       return SetName(to.data_centre, text);
     },
     true, "name of the data centre, as in the configuration document"},
    {"data-centre-number",
     [](settings& to, const std::string& text) {
       return SetNumber(to.data_centre_number, text, 0, kMaxDataCentreNumber);
     },
     true, "number of the data centre in submission ids"},
    {"callers",
     [](settings& to, const std::string& text) {
       return SetAddress(to.callers, text);
     },
     true, "IP:port for callers"},
    {"operators",
     [](settings& to, const std::string& text) {
       return SetAddress(to.operators, text);
     },
     true, "IP:port for operators, liveness, readiness and metrics"},
    {"peers",
     [](settings& to, const std::string& text) {
       return SetAddress(to.peers, text);
     },
     true, "IP:port for the other entries, which reach it by this address"},
    {"table-url",
     [](settings& to, const std::string& text) {
       return SetUrl(to.table_url, text);
     },
     true, "the platform's table service"},
    {"objects-url",
     [](settings& to, const std::string& text) {
       return SetUrl(to.objects_url, text);
     },
     false, "the platform's object store"},
    {"instances-url",
     [](settings& to, const std::string& text) {
       return SetUrl(to.instances_url, text);
     },
     true, "the platform's list of instances"},
    {"log",
     [](settings& to, const std::string& text) {
       return SetText(to.log, text);
     },
     false, "file for the log, or - for standard error (-)"},
    {"operator-token",
     [](settings& to, const std::string& text) {
       return SetText(to.operator_token, text);
     },
     false, "bearer token that operators must send (none)"},
    {"peer-token",
     [](settings& to, const std::string& text) {
       return SetText(to.peer_token, text);
     },
     false, "bearer token that entries must send each other (none)"},
    {"max-connections",
     [](settings& to, const std::string& text) {
       return SetNumber(to.max_connections, text, 1, kMaxConnections);
     },
     false, "limit of open connections of callers (1000)"},
    {"memory-mb",
     [](settings& to, const std::string& text) {
       return SetNumber(to.memory_mb, text, 1, kMaxMemoryMb);
     },
     false, "memory of the machine, which limits requests (all there is)"},
    {"upstream-threads",
     [](settings& to, const std::string& text) {
       return SetNumber(to.upstream_threads, text, 1, kMaxUpstreamThreads);
     },
     false, "threads that talk to upstreams (2)"},
    {"drain-timeout-ms",
     [](settings& to, const std::string& text) {
       return SetMilliseconds(to.drain_timeout, text, milliseconds{0},
                              kMaxDrainTimeout);
     },
     false, "time limit of a graceful stop (30000)"},
    {"poll-interval-ms",
     [](settings& to, const std::string& text) {
       return SetMilliseconds(to.poll_interval, text, kMinPollInterval,
                              kMaxPollInterval);
     },
     false, "interval between polls of the platform (1000)"},
    {"metrics-port",
     [](settings& to, const std::string& text) {
       return SetNumber(to.metrics_port, text, 1, kMaxPort);
     },
     false, "with --fleet: port of the metrics page (9464)"},
    {"peer-proxy",
     [](settings& to, const std::string& text) {
       return SetAddress(to.peer_proxy, text);
     },
     false,
     "with --fleet: HTTP proxy to other entries, for tests of cut connections "
     "(none)"},
    {"share-capacity",
     [](settings& to, const std::string& text) {
       return SetSwitch(to.share_capacity, text);
     },
     false,
     "with --fleet: on shares scarce capacity among kinds of jobs (off)"},
    {"without",
     [](settings& to, const std::string& text) {
       return SetWithout(to.without, text);
     },
     false,
     "with --fleet: NAME[,NAME] mechanisms to switch off, for experiments "
     "(none)"},
}};

constexpr int kHelpOption = 1'000;
constexpr int kVersionOption = 1'001;
constexpr int kCheckOption = 1'002;
constexpr int kFleetOption = 1'003;

/// Returns the name of a flag's environment variable.
std::string EnvironmentVariable(const flag& option_flag) {
  std::string name = "TARRAGONDRIFT_";
  for (const char c : std::string(option_flag.name)) {
    name +=
        c == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

/// Returns the option table of getopt_long; the value of an option is the
/// position of its flag in kFlags.
std::vector<option> MakeOptions() {
  std::vector<option> options;
  for (size_t at = 0; at < kFlags.size(); ++at) {
    options.push_back(
        {kFlags[at].name, required_argument, nullptr, static_cast<int>(at)});
  }
  options.push_back({"help", no_argument, nullptr, kHelpOption});
  options.push_back({"version", no_argument, nullptr, kVersionOption});
  options.push_back({"fleet", no_argument, nullptr, kFleetOption});
  options.push_back({"check", no_argument, nullptr, kCheckOption});
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

/// The settings and errors collected so far.
struct settings_parser {
  parsed_settings parsed;
  std::array<bool, kFlags.size()> given{};

  void Set(size_t at, const std::string& text, const std::string& source) {
    given[at] = true;
    const std::string error = kFlags[at].set(parsed.value, text);
    if (!error.empty()) {
      parsed.errors.push_back(source + " " + error);
    }
  }
};

void ReadFlags(settings_parser& parser, std::vector<std::string>& arguments) {
  std::vector<char*> raw;
  raw.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    raw.push_back(argument.data());
  }
  raw.push_back(nullptr);
  const std::vector<option> options = MakeOptions();
  const int count = static_cast<int>(arguments.size());
  optind = 0;  // Resets getopt_long, which keeps its state between calls.
  opterr = 0;
  int option_value = 0;
  while ((option_value = getopt_long(count, raw.data(), "", options.data(),
                                     nullptr)) != -1) {
    if (option_value == kHelpOption) {
      parser.parsed.value.mode = run_mode::kHelp;
    } else if (option_value == kVersionOption) {
      parser.parsed.value.mode = run_mode::kVersion;
    } else if (option_value == kFleetOption) {
      parser.parsed.value.mode = run_mode::kServeFleet;
    } else if (option_value == kCheckOption) {
      parser.parsed.value.mode = run_mode::kCheck;
    } else if (option_value == '?') {
      parser.parsed.errors.push_back(
          std::string("unknown or incomplete flag ") + raw[optind - 1]);
    } else {
      parser.Set(option_value, optarg,
                 std::string("--") + kFlags[option_value].name);
    }
  }
  for (int at = optind; at < count; ++at) {
    parser.parsed.errors.push_back(std::string("unexpected argument ") +
                                   raw[at]);
  }
}

/// Reads from the environment the settings that no flag has set.
void ReadEnvironment(settings_parser& parser,
                     const environment_lookup& lookup) {
  for (size_t at = 0; at < kFlags.size(); ++at) {
    const std::string name = EnvironmentVariable(kFlags[at]);
    const char* const text = parser.given[at] ? nullptr : lookup(name.c_str());
    if (text != nullptr) {
      parser.Set(at, text, name);
    }
  }
}

/// Adds an error for each required setting that is not set.
void CheckRequired(settings_parser& parser) {
  for (size_t at = 0; at < kFlags.size(); ++at) {
    if (kFlags[at].required && !parser.given[at]) {
      parser.parsed.errors.push_back(std::string("--") + kFlags[at].name +
                                     " is missing");
    }
  }
}

}  // namespace

parsed_settings ParseSettings(std::vector<std::string> arguments,
                              const environment_lookup& lookup) {
  settings_parser parser;
  ReadFlags(parser, arguments);
  ReadEnvironment(parser, lookup);
  const run_mode mode = parser.parsed.value.mode;
  if (mode == run_mode::kServe || mode == run_mode::kCheck) {
    CheckRequired(parser);
  }
  return std::move(parser.parsed);
}

std::string SettingsHelp() {
  constexpr size_t kColumn = 24;
  std::string text =
      "tarragondriftd: the entry daemon of the tarragondrift dispatcher.\n"
      "Each flag can be given as an environment variable: --table-url as\n"
      "TARRAGONDRIFT_TABLE_URL. Flags win. Give tokens as variables, since\n"
      "other users of a machine can read a process's flags.\n\n";
  for (const flag& listed : kFlags) {
    std::string line = std::string("  --") + listed.name;
    line.resize(std::max(kColumn, line.size() + 1), ' ');
    text += line + listed.help + (listed.required ? ", required\n" : "\n");
  }
  text +=
      "  --fleet               control leased workers of the platform whose\n"
      "                        settings file TARRAGONDRIFT_BOOT names; the\n"
      "                        required flags are not needed then\n"
      "  --check               check the settings, then exit\n"
      "  --help                show this text\n"
      "  --version             show the version\n";
  return text;
}

}  // namespace tarragondrift
