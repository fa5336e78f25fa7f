// Finds the command, checks its arguments and runs it; prints help and version.
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string_view>

#include "commands.h"

namespace tarragondrift {
namespace {

using command_function = exit_code (*)(const tool_settings&, const console&);

/// Which addresses a command needs.
enum class address_need : uint8_t { kEntries, kOperators, kEither };

/// One command.
struct command_row {
  /// One or two words.
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  size_t least_arguments;
  size_t most_arguments;
  address_need need;
  command_function run;
};

constexpr std::array kCommands{
    command_row{"submit", "FILE", "submit a job, print its whole answer", 1, 1,
                address_need::kEntries, RunSubmit},
    command_row{"tickets", "", "fetch submission ids", 0, 0,
                address_need::kEntries, RunTickets},
    command_row{"cancel", "ID", "cancel a submission", 1, 1,
                address_need::kEntries, RunCancel},
    command_row{"status", "[ID]", "show a submission, or the entries", 0, 1,
                address_need::kEither, RunStatus},
    command_row{"config check", "FILE", "list every error of a document", 1, 1,
                address_need::kOperators, RunConfigCheck},
    command_row{"config try", "FILE", "put a document into trial", 1, 1,
                address_need::kOperators, RunConfigTry},
    command_row{"config promote", "DIGEST", "put it into production unchanged",
                1, 1, address_need::kOperators, RunConfigPromote},
    command_row{"config status", "", "show the versions in force", 0, 0,
                address_need::kOperators, RunConfigStatus},
    command_row{"config diff", "[FILE]",
                "compare a file, or the trial, with --environment", 0, 1,
                address_need::kOperators, RunConfigDiff},
    command_row{"report burn", "", "show service-level burn", 0, 0,
                address_need::kOperators, RunReportBurn},
    command_row{"evacuations", "",
                "show evacuated data centres, by the entries' metrics", 0, 0,
                address_need::kOperators, RunEvacuations},
    command_row{"load", "", "send open-loop load, print figures", 0, 0,
                address_need::kEntries, RunLoad},
};

constexpr std::string_view kExitCodes =
    "Exit codes: 0 ok, 1 failed whole, 2 wrong command line or file,\n"
    "  3 not run, 4 outcome unknown, 5 unavailable, 6 configuration refused\n";

/// Prints commands, flags and exit codes.
void PrintHelp(std::ostream& out) {
  out << "tarragondrift COMMAND [FLAGS]\n\nCommands:\n";
  for (const command_row& command : kCommands) {
    std::string left = "  " + std::string(command.name);
    left += command.arguments.empty() ? "" : " ";
    left += command.arguments;
    constexpr size_t kHelpColumn = 26;
    left.resize(std::max(left.size() + 1, kHelpColumn), ' ');
    out << left << command.help << '\n';
  }
  out << "\nFlags [and their environment variables]:\n"
      << DescribeFlags() << '\n'
      << kExitCodes;
}

/// Counts the words of a command's name.
size_t WordsOf(const command_row& command) {
  return command.name.find(' ') == std::string_view::npos ? 1 : 2;
}

/// Finds the command that the first words name.
/// @return nothing when there is none.
const command_row* FindCommand(const std::vector<std::string>& words) {
  for (const command_row& command : kCommands) {
    std::string name = words.front();
    if (WordsOf(command) == 2 && words.size() > 1) {
      name += " " + words.at(1);
    }
    if (name == command.name) {
      return &command;
    }
  }
  return nullptr;
}

/// Tells which address is missing.
/// @return the empty text when none is.
std::string MissingAddress(const command_row& command,
                           const tool_settings& settings) {
  const bool entries = !settings.entries.empty();
  const bool operators = !settings.operators.empty();
  switch (command.need) {
    case address_need::kEntries:
      return entries ? "" : "--entry is needed";
    case address_need::kOperators:
      return operators ? "" : "--operator is needed";
    case address_need::kEither:
      return entries || operators ? "" : "--entry or --operator is needed";
  }
  return {};
}

/// Prints what is wrong with the command line.
exit_code PrintUsage(const console& console,
                     const std::vector<std::string>& errors) {
  for (const std::string& error : errors) {
    console.err << "error: " << error << '\n';
  }
  console.err << "See tarragondrift --help\n";
  return exit_code::kUsage;
}

/// Takes the command's own words off.
tool_settings WithoutCommand(const command_row& command,
                             tool_settings settings) {
  settings.words.erase(
      settings.words.begin(),
      settings.words.begin() + static_cast<ptrdiff_t>(WordsOf(command)));
  return settings;
}

/// Lists what keeps a command from running.
std::vector<std::string> CheckCommand(const command_row& command,
                                      const tool_settings& settings) {
  std::vector<std::string> errors = settings.errors;
  const size_t arguments = settings.words.size();
  if (arguments < command.least_arguments ||
      arguments > command.most_arguments) {
    errors.push_back("usage: tarragondrift " + std::string(command.name) + " " +
                     std::string(command.arguments));
  }
  const std::string missing = MissingAddress(command, settings);
  if (!missing.empty()) {
    errors.push_back(missing);
  }
  return errors;
}

}  // namespace

exit_code RunTool(const tool_settings& settings, const console& console) {
  if (settings.help) {
    PrintHelp(console.out);
    return exit_code::kOk;
  }
  if (settings.version) {
    console.out << "tarragondrift " TARRAGONDRIFT_VERSION "\n";
    return exit_code::kOk;
  }
  if (settings.words.empty()) {
    std::vector<std::string> errors = settings.errors;
    errors.emplace_back("a command is needed");
    return PrintUsage(console, errors);
  }
  const command_row* const command = FindCommand(settings.words);
  if (command == nullptr) {
    return PrintUsage(console,
                      {"unknown command '" + settings.words.front() + "'"});
  }
  const tool_settings own = WithoutCommand(*command, settings);
  const std::vector<std::string> errors = CheckCommand(*command, own);
  return errors.empty() ? command->run(own, console)
                        : PrintUsage(console, errors);
}

tool_result<std::string> ReadWholeFile(const std::string& name) {
  std::ostringstream content;
  if (name == "-") {
    content << std::cin.rdbuf();
    return content.str();
  }
  const std::ifstream file(name, std::ios::binary);
  if (!file) {
    return tool_error{.code = result_code::kNotFound,
                      .detail = "file '" + name + "' cannot be read"};
  }
  content << file.rdbuf();
  return content.str();
}

}  // namespace tarragondrift
