#include "config_loader.h"

#include <optional>
#include <utility>

#include "clock.h"
#include "config_positions.h"
#include "logging.h"
#include "tarragondrift/config/document_text.h"

namespace tarragondrift {
namespace {

/// Longest wait of a thread while no request is queued.
constexpr std::chrono::seconds kIdleWait{60};

/// Logs a document that was not put in force; the event names the reason.
void LogDocumentError(const char* event, uint64_t version) {
  log_event(log_level::kError, event)
      .With("version", static_cast<int64_t>(version));
}

}  // namespace

config_loader::config_loader(table_port& table, std::string environment_name,
                             engine& target, metrics& counts)
    : table_(table),
      environment_(std::move(environment_name)),
      engine_(target),
      counts_(counts),
      head_thread_(
          [this] { Loop(head_requests_, &config_loader::ReadVersion); }),
      document_thread_(
          [this] { Loop(document_requests_, &config_loader::ReadText); }) {}

config_loader::~config_loader() {
  head_requests_.Close();
  document_requests_.Close();
  head_thread_.join();
  document_thread_.join();
}

void config_loader::Loop(mailbox<read_request>& requests,
                         void (config_loader::*read)()) {
  while (!requests.Closed()) {
    if (!requests.TakeUntil(ToSteady(Now() + kIdleWait)).empty()) {
      (this->*read)();
    }
  }
}

result<config_head> config_loader::ReadTableHead() {
  const result<environment> where = ParseEnvironment(environment_);
  counts_.Messages().platform.fetch_add(1);
  result<config_head> head = ReadHead(table_, where.value());
  LogTableState(head.has_value());
  return head;
}

void config_loader::ReadVersion() {
  const result<config_head> head = ReadTableHead();
  engine_.Post(config_polled_event{
      .version = head ? std::optional(head.value().version) : std::nullopt});
}

void config_loader::ReadText() {
  const result<config_head> head = ReadTableHead();
  if (!head || head.value().version <= Config().version) {
    return;
  }
  counts_.Messages().platform.fetch_add(1);
  const result<std::string> text = ReadDocument(table_, head.value().digest);
  if (!text) {
    LogDocumentError("config_not_loaded", head.value().version);
    return;
  }
  Take({.version = head.value().version,
        .digest = head.value().digest,
        .text = text.value()});
}

void config_loader::Take(const config_text& received) {
  // The lock is held until the document is posted, so that documents reach the
  // engine in the order of their versions.
  const std::scoped_lock lock(mutex_);
  if (received.version <= text_.version) {
    return;
  }
  parsed_config parsed = ParseConfigDocument(received.text);
  const bool digest_matches =
      DigestConfigText(received.text) == received.digest;
  if (!digest_matches || !parsed.Valid()) {
    LogDocumentError("config_invalid", received.version);
    return;
  }
  parsed.document.version = received.version;
  parsed.document.digest = received.digest;
  if (config_ != nullptr) {
    parsed.document = KeepPositions(*config_, std::move(parsed.document));
  }
  config_ = std::make_shared<const config_document>(std::move(parsed.document));
  text_ = received;
  engine_.Post(config_event{config_});
  log_event(log_level::kInfo, "config_in_force")
      .With("version", static_cast<int64_t>(received.version))
      .With("digest", received.digest);
}

config_text config_loader::Config() const {
  const std::scoped_lock lock(mutex_);
  return text_;
}

/// Logs a table that started to fail or has recovered; repeated results are not
/// logged.
void config_loader::LogTableState(bool works) {
  const std::scoped_lock lock(mutex_);
  if (failing_ != works) {
    return;
  }
  failing_ = !works;
  log_event(works ? log_level::kInfo : log_level::kWarning,
            works ? "platform_works" : "platform_fails")
      .With("service", "config");
}

}  // namespace tarragondrift
