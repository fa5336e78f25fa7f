// The tool's commands; each is a free function over settings and console.
#ifndef TARRAGONDRIFT_TOOL_COMMANDS_H_
#define TARRAGONDRIFT_TOOL_COMMANDS_H_

#include "console.h"
#include "settings.h"

namespace tarragondrift {

/// submit FILE: submits a job and prints its whole answer.
exit_code RunSubmit(const tool_settings& settings, const console& console);

/// tickets: fetches submission ids.
exit_code RunTickets(const tool_settings& settings, const console& console);

/// cancel ID: cancels a submission.
exit_code RunCancel(const tool_settings& settings, const console& console);

/// status [ID]: shows a submission, or the entries.
exit_code RunStatus(const tool_settings& settings, const console& console);

/// config check FILE: lists every error of a document.
exit_code RunConfigCheck(const tool_settings& settings, const console& console);

/// config try FILE: puts a document into trial.
exit_code RunConfigTry(const tool_settings& settings, const console& console);

/// config promote DIGEST: puts a tried document into production.
exit_code RunConfigPromote(const tool_settings& settings,
                           const console& console);

/// config status: shows the version in force everywhere.
exit_code RunConfigStatus(const tool_settings& settings,
                          const console& console);

/// config diff [FILE]: compares a file, or the trial, with an environment.
exit_code RunConfigDiff(const tool_settings& settings, const console& console);

/// report burn: shows how fast the error budgets burn.
exit_code RunReportBurn(const tool_settings& settings, const console& console);

/// evacuations: shows which data centres are evacuated.
exit_code RunEvacuations(const tool_settings& settings, const console& console);

/// load: sends open-loop load and prints figures.
exit_code RunLoad(const tool_settings& settings, const console& console);

/// Runs what the settings name: a command, the help or the version.
exit_code RunTool(const tool_settings& settings, const console& console);

/// Reads a whole file; "-" is the standard input.
tool_result<std::string> ReadWholeFile(const std::string& name);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_TOOL_COMMANDS_H_
