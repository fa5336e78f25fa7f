#include "config_loader.h"

#include <optional>
#include <utility>

#include "clock.h"
#include "config_positions.h"
#include "logging.h"
#include "tarragondrift/config/document_text.h"

namespace tarragondrift {
namespace {

/// How long a thread sleeps when nothing is asked of it.
constexpr std::chrono::seconds kIdleWait{60};

/// Logs why a document was not taken.
void LogNotTaken(const char* event, uint64_t version) {
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
      head_thread_([this] { Loop(heads_, &config_loader::ReadVersion); }),
      document_thread_([this] { Loop(documents_, &config_loader::ReadText); }) {
}

config_loader::~config_loader() {
  heads_.Close();
  documents_.Close();
  head_thread_.join();
  document_thread_.join();
}

void config_loader::Loop(mailbox<order>& orders,
                         void (config_loader::*work)()) {
  while (!orders.Closed()) {
    if (!orders.TakeUntil(ToSteady(Now() + kIdleWait)).empty()) {
      (this->*work)();
    }
  }
}

result<config_head> config_loader::ReadTableHead() {
  const result<environment> where = ParseEnvironment(environment_);
  counts_.Messages().platform.fetch_add(1);
  result<config_head> head = ReadHead(table_, where.value());
  Note(head.has_value());
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
    LogNotTaken("config_not_loaded", head.value().version);
    return;
  }
  Take({.version = head.value().version,
        .digest = head.value().digest,
        .text = text.value()});
}

void config_loader::Take(const config_text& received) {
  // One at a time, so that documents reach the engine in the order of their
  // versions.
  const std::scoped_lock lock(mutex_);
  if (received.version <= text_.version) {
    return;
  }
  parsed_config parsed = ParseConfigDocument(received.text);
  const bool whole = DigestConfigText(received.text) == received.digest;
  if (!whole || !parsed.Valid()) {
    LogNotTaken("config_invalid", received.version);
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

/// Logs that the table began to fail or works again, once each.
void config_loader::Note(bool works) {
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
