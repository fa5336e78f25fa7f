// evacuations: reads the metrics pages of all entries.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "commands.h"
#include "entry_client.h"
#include "evacuation_report.h"

namespace tarragondrift {
namespace {

using std::chrono::milliseconds;

/// A live entry answers within milliseconds; --timeout-ms shortens this.
constexpr milliseconds kMaxPageWait{2'000};
/// Pages read at a time, so that entries that hang delay the report by one
/// timeout and not by one each.
constexpr size_t kMaxReaders = 16;

/// The page of one entry, or why there is none.
struct page_reply {
  std::string page;
  std::string cause;
};

page_reply FetchPage(http_client& client, const tool_settings& settings,
                     const std::string& address) {
  const http_reply reply =
      client.Send({.url = address + "/metrics",
                   .timeout = std::min(settings.timeout, kMaxPageWait)});
  if (reply.exchange != http_exchange::kAnswered) {
    return {.cause = reply.error.empty() ? "no reply" : reply.error};
  }
  constexpr int kSuccess = 200;
  if (reply.status != kSuccess) {
    return {.cause = "HTTP status " + std::to_string(reply.status)};
  }
  if (!IsFleetPage(reply.body)) {
    return {.cause = "not the metrics page of an entry with --fleet"};
  }
  return {.page = reply.body};
}

/// Reads the pages of all entries, several at a time.
std::vector<page_reply> FetchPages(const tool_settings& settings) {
  const std::vector<std::string>& addresses = settings.operators;
  http_client client{http_client_options{}};
  std::vector<page_reply> replies(addresses.size());
  std::atomic<size_t> next{0};
  std::vector<std::thread> readers;
  const size_t count = std::min(addresses.size(), kMaxReaders);
  readers.reserve(count);
  for (size_t reader = 0; reader < count; ++reader) {
    readers.emplace_back([&] {
      for (size_t at = next++; at < addresses.size(); at = next++) {
        replies[at] = FetchPage(client, settings, addresses[at]);
      }
    });
  }
  for (std::thread& reader : readers) {
    reader.join();
  }
  return replies;
}

/// Returns an address as the operator writes it, "IP:PORT".
std::string WithoutScheme(const std::string& address) {
  constexpr std::string_view kScheme = "http://";
  return address.starts_with(kScheme) ? address.substr(kScheme.size())
                                      : address;
}

}  // namespace

exit_code RunEvacuations(const tool_settings& settings,
                         const console& console) {
  const std::vector<page_reply> replies = FetchPages(settings);
  evacuation_report report;
  for (size_t at = 0; at < replies.size(); ++at) {
    if (replies[at].cause.empty()) {
      AddPage(report, replies[at].page);
    } else {
      report.unanswered.push_back(
          {.address = WithoutScheme(settings.operators[at]),
           .cause = replies[at].cause});
    }
  }
  console.out << (console.json ? FormatEvacuationJson(report)
                               : FormatEvacuationText(report));
  return report.unanswered.empty() ? exit_code::kOk : exit_code::kUnavailable;
}

}  // namespace tarragondrift
