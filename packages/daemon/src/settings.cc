#include "settings.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <span>
#include <utility>

#include "tarragondrift/gate/address.h"

namespace tarragondrift {
namespace {

using std::chrono::milliseconds;

/// Sets one setting from its text.
/// @return what is wrong with the text; empty when nothing is.
using setter = std::string (*)(settings&, const std::string&);

/// One flag.
struct flag {
  const char* name;
  setter set;
  bool required;
  const char* meaning;
};

/// Reads a whole number within bounds.
template <class Number>
std::string SetNumber(Number& place, const std::string& text, uint64_t least,
                      uint64_t most) {
  uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  if (read.ec != std::errc{} || read.ptr != end || value < least ||
      value > most) {
    return "is not a whole number from " + std::to_string(least) + " to " +
           std::to_string(most);
  }
  place = static_cast<Number>(value);
  return {};
}

/// Reads a time in milliseconds within bounds.
std::string SetMilliseconds(milliseconds& place, const std::string& text,
                            milliseconds least, milliseconds most) {
  uint64_t value = 0;
  std::string error = SetNumber(value, text, least.count(), most.count());
  if (error.empty()) {
    place = milliseconds(value);
  }
  return error;
}

/// Reads "IP:port".
std::string SetAddress(std::string& place, const std::string& text) {
  if (!ParseAddress(text)) {
    return "is not an address of the form IP:port";
  }
  place = text;
  return {};
}

/// Reads the URL of one of the platform's services.
std::string SetUrl(std::string& place, const std::string& text) {
  if (!text.starts_with("http://") && !text.starts_with("https://")) {
    return "is not an http:// or https:// URL";
  }
  place = text;
  return {};
}

/// Reads a name of letters, digits, '-', '_' and '.'.
std::string SetName(std::string& place, const std::string& text) {
  const bool plain =
      !text.empty() && std::all_of(text.begin(), text.end(), [](char one) {
        return std::isalnum(static_cast<unsigned char>(one)) != 0 ||
               one == '-' || one == '_' || one == '.';
      });
  if (!plain) {
    return "is not a name of letters, digits, '-', '_' and '.'";
  }
  place = text;
  return {};
}

/// Reads an environment's name.
std::string SetEnvironment(std::string& place, const std::string& text) {
  if (text != "trial" && text != "production") {
    return "is neither 'trial' nor 'production'";
  }
  place = text;
  return {};
}

/// Reads any text that is not empty.
std::string SetText(std::string& place, const std::string& text) {
  if (text.empty()) {
    return "is empty";
  }
  place = text;
  return {};
}

constexpr uint64_t kMostDataCentre = 65'535;
constexpr uint64_t kMostPort = 65'535;
constexpr uint64_t kMostConnections = 20'000;
constexpr uint64_t kMostUpstreamThreads = 64;
constexpr milliseconds kLongestDrain{3'600'000};
constexpr milliseconds kShortestPoll{100};
constexpr milliseconds kLongestPoll{60'000};

constexpr std::array<flag, 17> kFlags{{
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
       return SetNumber(to.data_centre_number, text, 0, kMostDataCentre);
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
       return SetNumber(to.max_connections, text, 1, kMostConnections);
     },
     false, "most open connections of callers (1000)"},
    {"upstream-threads",
     [](settings& to, const std::string& text) {
       return SetNumber(to.upstream_threads, text, 1, kMostUpstreamThreads);
     },
     false, "threads that talk to upstreams (2)"},
    {"drain-timeout-ms",
     [](settings& to, const std::string& text) {
       return SetMilliseconds(to.drain_timeout, text, milliseconds{0},
                              kLongestDrain);
     },
     false, "longest graceful stop (30000)"},
    {"poll-interval-ms",
     [](settings& to, const std::string& text) {
       return SetMilliseconds(to.poll_interval, text, kShortestPoll,
                              kLongestPoll);
     },
     false, "between two looks at the platform (1000)"},
    {"metrics-port",
     [](settings& to, const std::string& text) {
       return SetNumber(to.metrics_port, text, 1, kMostPort);
     },
     false, "with --fleet: port of the metrics page (9464)"},
}};

constexpr int kHelpOption = 1'000;
constexpr int kVersionOption = 1'001;
constexpr int kCheckOption = 1'002;
constexpr int kFleetOption = 1'003;

/// Gives the environment variable of a flag.
std::string VariableName(const flag& of) {
  std::string name = "TARRAGONDRIFT_";
  for (const char one : std::string(of.name)) {
    name +=
        one == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(one)));
  }
  return name;
}

/// Makes getopt_long's table; the position of a flag is its value.
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

/// Collects settings and errors.
struct reader {
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

/// Reads the flags.
void ReadFlags(reader& into, std::vector<std::string>& arguments) {
  std::vector<char*> raw;
  raw.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    raw.push_back(argument.data());
  }
  raw.push_back(nullptr);
  const std::vector<option> options = MakeOptions();
  const int count = static_cast<int>(arguments.size());
  optind = 0;  // Makes getopt_long start afresh.
  opterr = 0;
  int chosen = 0;
  while ((chosen = getopt_long(count, raw.data(), "", options.data(),
                               nullptr)) != -1) {
    if (chosen == kHelpOption) {
      into.parsed.value.mode = run_mode::kHelp;
    } else if (chosen == kVersionOption) {
      into.parsed.value.mode = run_mode::kVersion;
    } else if (chosen == kFleetOption) {
      into.parsed.value.mode = run_mode::kServeFleet;
    } else if (chosen == kCheckOption) {
      into.parsed.value.mode = run_mode::kCheck;
    } else if (chosen == '?') {
      into.parsed.errors.push_back(std::string("unknown or incomplete flag ") +
                                   raw[optind - 1]);
    } else {
      into.Set(chosen, optarg, std::string("--") + kFlags[chosen].name);
    }
  }
  for (int at = optind; at < count; ++at) {
    into.parsed.errors.push_back(std::string("unexpected argument ") + raw[at]);
  }
}

/// Fills in from the environment what no flag gave.
void ReadEnvironment(reader& into, const environment_lookup& lookup) {
  for (size_t at = 0; at < kFlags.size(); ++at) {
    const std::string name = VariableName(kFlags[at]);
    const char* const text = into.given[at] ? nullptr : lookup(name.c_str());
    if (text != nullptr) {
      into.Set(at, text, name);
    }
  }
}

/// Names the required settings that nobody gave.
void CheckRequired(reader& in) {
  for (size_t at = 0; at < kFlags.size(); ++at) {
    if (kFlags[at].required && !in.given[at]) {
      in.parsed.errors.push_back(std::string("--") + kFlags[at].name +
                                 " is missing");
    }
  }
}

}  // namespace

parsed_settings ParseSettings(std::vector<std::string> arguments,
                              const environment_lookup& lookup) {
  reader into;
  ReadFlags(into, arguments);
  ReadEnvironment(into, lookup);
  const run_mode mode = into.parsed.value.mode;
  if (mode == run_mode::kServe || mode == run_mode::kCheck) {
    CheckRequired(into);
  }
  return std::move(into.parsed);
}

std::string SettingsHelp() {
  constexpr size_t kColumn = 24;
  std::string text =
      "tarragondriftd: the entry daemon of the tarragondrift dispatcher.\n"
      "Each flag can be given as an environment variable: --table-url as\n"
      "TARRAGONDRIFT_TABLE_URL. Flags win. Give tokens as variables, since\n"
      "other users of a machine can read a process's flags.\n\n";
  for (const flag& one : kFlags) {
    std::string line = std::string("  --") + one.name;
    line.resize(std::max(kColumn, line.size() + 1), ' ');
    text += line + one.meaning + (one.required ? ", required\n" : "\n");
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
