#include "settings.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <sstream>
#include <string_view>

namespace tarragondrift {
namespace {

constexpr double kMostStartsPerSecond = 1'000'000;
constexpr uint32_t kMostTimeMs = 86'400'000;
constexpr uint32_t kMostCount = 10'000;

/// Takes a flag's text over into the settings.
/// @return false when the text is out of range.
using flag_setter = bool (*)(tool_settings&, const std::string&);

/// One flag.
struct flag_row {
  const char* name;
  /// What its value is; empty for a flag without one.
  const char* value;
  const char* help;
  flag_setter set;
};

/// Reads a whole number within bounds.
template <class Number>
bool SetNumber(Number& target, const std::string& text, uint64_t least,
               uint64_t most) {
  uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end || number < least ||
      number > most) {
    return false;
  }
  target = static_cast<Number>(number);
  return true;
}

/// Reads a positive decimal number up to a bound.
bool SetDecimal(double& target, const std::string& text, double most) {
  double number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end || !(number > 0) ||
      number > most) {
    return false;
  }
  target = number;
  return true;
}

/// Adds the addresses of a list that commas part; "http://" may be left out.
bool AddAddresses(std::vector<std::string>& target, const std::string& text) {
  std::istringstream list(text);
  std::string address;
  while (std::getline(list, address, ',')) {
    while (address.ends_with('/')) {
      address.pop_back();
    }
    if (address.empty()) {
      return false;
    }
    const bool has_scheme = address.find("://") != std::string::npos;
    target.push_back(has_scheme ? address : "http://" + address);
  }
  return true;
}

/// Takes any text that is not empty.
bool SetText(std::string& target, const std::string& text) {
  target = text;
  return !text.empty();
}

/// Reads a switch; in the environment it is "1", "true", "0" or "false".
bool SetSwitch(bool& target, const std::string& text) {
  target = text.empty() || text == "1" || text == "true";
  return target || text == "0" || text == "false";
}

using settings_ref = tool_settings&;
using text_ref = const std::string&;

constexpr std::array kFlags{
    flag_row{"entry", "URL[,URL]", "callers' address of an entry; repeatable",
             [](settings_ref settings, text_ref text) {
               return AddAddresses(settings.entries, text);
             }},
    flag_row{"operator", "URL[,URL]",
             "operators' address of an entry; repeatable",
             [](settings_ref settings, text_ref text) {
               return AddAddresses(settings.operators, text);
             }},
    flag_row{"token", "TEXT", "bearer token of the operators' addresses",
             [](settings_ref settings, text_ref text) {
               return SetText(settings.token, text);
             }},
    flag_row{"json", "", "print JSON for scripts",
             [](settings_ref settings, text_ref text) {
               return SetSwitch(settings.json, text);
             }},
    flag_row{"timeout-ms", "N", "longest wait for an answer (600000)",
             [](settings_ref settings, text_ref text) {
               return SetNumber(settings.timeout, text, 1, kMostTimeMs);
             }},
    flag_row{"id", "ID", "submit: the ticket to use instead of a new one",
             [](settings_ref settings, text_ref text) {
               return SetText(settings.id, text);
             }},
    flag_row{"slots", "N", "submit: compare with the ideal time on N slots",
             [](settings_ref settings, text_ref text) {
               return SetNumber(settings.slots, text, 1, kMostCount);
             }},
    flag_row{"count", "N", "tickets: how many (1)",
             [](settings_ref settings, text_ref text) {
               return SetNumber(settings.count, text, 1, kMostCount);
             }},
    flag_row{"by", "NAME", "config: who makes the change",
             [](settings_ref settings, text_ref text) {
               return SetText(settings.by, text);
             }},
    flag_row{"environment", "NAME", "config diff: trial or production",
             [](settings_ref settings, text_ref text) {
               settings.environment = text;
               return text == "trial" || text == "production";
             }},
    flag_row{"plot", "FILE", "report burn: write FILE.dat and FILE.gp too",
             [](settings_ref settings, text_ref text) {
               return SetText(settings.plot, text);
             }},
    flag_row{"rate", "N", "load: task starts a second (2000)",
             [](settings_ref settings, text_ref text) {
               return SetDecimal(settings.load.starts_per_s, text,
                                 kMostStartsPerSecond);
             }},
    flag_row{"seconds", "N", "load: how long to send (10)",
             [](settings_ref settings, text_ref text) {
               return SetNumber(settings.load.duration, text, 1, kMostCount);
             }},
    flag_row{"tasks", "N", "load: tasks of a job (10)",
             [](settings_ref settings, text_ref text) {
               return SetNumber(settings.load.tasks_per_job, text, 1,
                                kMostCount);
             }},
    flag_row{"work-ms", "N", "load: running time of a task (20)",
             [](settings_ref settings, text_ref text) {
               return SetNumber(settings.load.work, text, 1, kMostTimeMs);
             }},
    flag_row{"contract", "NAME", "load: contract of the jobs (quote)",
             [](settings_ref settings, text_ref text) {
               return SetText(settings.load.contract, text);
             }},
    flag_row{"team", "NAME", "load: team of the jobs (sales)",
             [](settings_ref settings, text_ref text) {
               return SetText(settings.load.team, text);
             }},
    flag_row{"upstream", "NAME", "load: upstream of the tasks (plata)",
             [](settings_ref settings, text_ref text) {
               return SetText(settings.load.upstream, text);
             }},
    flag_row{"connections", "N", "load: most requests at once (256)",
             [](settings_ref settings, text_ref text) {
               return SetNumber(settings.load.connections, text, 1, kMostCount);
             }},
    flag_row{"seed", "N", "load: seed of the arrival times (1)",
             [](settings_ref settings, text_ref text) {
               return SetNumber(settings.load.seed, text, 0, UINT64_MAX);
             }},
    flag_row{"help", "", "print this text",
             [](settings_ref settings, text_ref text) {
               return SetSwitch(settings.help, text);
             }},
    flag_row{"version", "", "print the version",
             [](settings_ref settings, text_ref text) {
               return SetSwitch(settings.version, text);
             }},
};

/// Tells whether a flag takes a value.
bool TakesValue(const flag_row& flag) { return *flag.value != '\0'; }

/// Names the environment variable of a flag.
std::string VariableOf(const flag_row& flag) {
  std::string variable = std::string("TARRAGONDRIFT_") + flag.name;
  std::transform(variable.begin(), variable.end(), variable.begin(),
                 [](unsigned char letter) {
                   return letter == '-' ? '_' : std::toupper(letter);
                 });
  return variable;
}

/// Sets a flag and notes when its value is wrong.
void SetFlag(const flag_row& flag, const std::string& source,
             const std::string& text, tool_settings& settings) {
  if (!flag.set(settings, text)) {
    settings.errors.push_back(source + ": invalid value '" + text + "'");
  }
}

/// Makes getopt_long's table of the flags.
std::vector<option> MakeOptions() {
  std::vector<option> options;
  options.reserve(kFlags.size() + 1);
  for (const flag_row& flag : kFlags) {
    options.push_back({flag.name,
                       TakesValue(flag) ? required_argument : no_argument,
                       nullptr, 1});
  }
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

/// Reads the command line.
/// @return which flags were given.
std::array<bool, kFlags.size()> ReadArguments(int count, char** arguments,
                                              tool_settings& settings) {
  const std::vector<option> options = MakeOptions();
  std::array<bool, kFlags.size()> given{};
  opterr = 0;
  optind = 0;  // Starts over, so that one process can read several lines.
  int index = 0;
  int found = 0;
  while ((found = getopt_long(count, arguments, ":", options.data(), &index)) !=
         -1) {
    if (found != 1) {
      settings.errors.push_back(
          std::string(arguments[optind - 1]) +
          (found == ':' ? ": needs a value" : ": unknown flag"));
      continue;
    }
    const flag_row& flag = kFlags.at(static_cast<size_t>(index));
    given.at(static_cast<size_t>(index)) = true;
    SetFlag(flag, std::string("--") + flag.name,
            optarg == nullptr ? "" : optarg, settings);
  }
  settings.words.assign(arguments + optind, arguments + count);
  return given;
}

}  // namespace

tool_settings ReadSettings(int count, char** arguments,
                           const environment_lookup& environment) {
  tool_settings settings;
  const auto given = ReadArguments(count, arguments, settings);
  for (size_t index = 0; index < kFlags.size(); ++index) {
    const flag_row& flag = kFlags.at(index);
    const std::string variable = VariableOf(flag);
    const auto text = environment(variable);
    if (!given.at(index) && text) {
      SetFlag(flag, variable, *text, settings);
    }
  }
  return settings;
}

std::string DescribeFlags() {
  std::ostringstream text;
  for (const flag_row& flag : kFlags) {
    std::string left = std::string("  --") + flag.name;
    left += TakesValue(flag) ? std::string(" ") + flag.value : "";
    constexpr size_t kHelpColumn = 26;
    left.resize(std::max(left.size() + 1, kHelpColumn), ' ');
    text << left << flag.help << " [" << VariableOf(flag) << "]\n";
  }
  return text.str();
}

}  // namespace tarragondrift
