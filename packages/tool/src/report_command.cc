// report burn: collects the counts of all entries and works the rates out.
#include <algorithm>
#include <chrono>
#include <fstream>

#include "burn_report.h"
#include "commands.h"
#include "entry_client.h"
#include "tarragondrift/config/burn_store.h"
#include "tarragondrift/config/document_text.h"
#include "tarragondrift/core/burn_cmd.h"

namespace tarragondrift {
namespace {

/// Reads the objectives of the document in force from the first entry that
/// has it.
tool_result<std::vector<burn_objective>> FetchObjectives(
    http_client& client, const tool_settings& settings) {
  entry_reply reply;
  for (const std::string& address : settings.operators) {
    reply = SendToEntry(client,
                        {.address = address,
                         .path = "/v1/config/document?environment=production",
                         .token = settings.token});
    if (reply.Succeeded() && reply.body.contains("document")) {
      const auto text = reply.body.at("document").get<std::string>();
      return ListObjectives(ParseConfigDocument(text).document);
    }
  }
  return reply.error;
}

/// Reads the counts of one entry.
tool_result<burn_source> FetchCounts(http_client& client,
                                     const tool_settings& settings,
                                     const std::string& address) {
  const entry_reply reply = SendToEntry(
      client,
      {.address = address, .path = "/v1/burn", .token = settings.token});
  if (!reply.Succeeded()) {
    return reply.error;
  }
  const auto source = ParseBurnSource(reply.body.dump());
  if (!source) {
    return tool_error{.detail = address + ": burn of another shape"};
  }
  return source.value();
}

/// Writes the plot's data and script.
/// @return false when a file cannot be written.
bool WritePlot(const std::string& base_name, const burn_report& report) {
  std::ofstream data(base_name + ".dat");
  data << FormatBurnData(report);
  std::ofstream script(base_name + ".gp");
  script << FormatBurnScript(base_name);
  data.flush();
  script.flush();
  return data.good() && script.good();
}

}  // namespace

exit_code RunReportBurn(const tool_settings& settings, const console& console) {
  http_client client{http_client_options{}};
  const auto objectives = FetchObjectives(client, settings);
  if (!objectives) {
    return PrintError(console, objectives.error());
  }
  std::vector<burn_source> sources;
  exit_code worst = exit_code::kOk;
  for (const std::string& address : settings.operators) {
    const auto source = FetchCounts(client, settings, address);
    if (source) {
      sources.push_back(source.value());
    } else {
      // The other entries' counts are still worth reading.
      worst = std::max(worst, PrintError(console, source.error()));
    }
  }
  const auto now = std::chrono::time_point_cast<std::chrono::seconds>(
      std::chrono::system_clock::now());
  const burn_report report = BurnReport(sources, objectives.value(), now);
  console.out << (console.json ? FormatBurnReport(report)
                               : FormatBurnTable(report));
  if (!settings.plot.empty() && !WritePlot(settings.plot, report)) {
    console.err << "error: cannot write " << settings.plot << ".dat and .gp\n";
    return exit_code::kUsage;
  }
  return worst;
}

}  // namespace tarragondrift
