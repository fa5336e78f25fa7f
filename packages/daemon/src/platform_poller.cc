#include "platform_poller.h"

#include <utility>

#include "clock.h"
#include "logging.h"

namespace tarragondrift {

platform_poller::platform_poller(const platform_poller_options& options,
                                 table_port& table, instance_port& instances,
                                 engine& target, metrics& counts)
    : options_(options),
      table_(table),
      instances_(instances),
      engine_(target),
      counts_(counts),
      entries_(std::make_shared<const entry_directory>()),
      last_poll_(Now()),
      table_thread_(options.interval, [this] { PollEntries(); }),
      instance_thread_(options.interval, [this] { PollInstances(); }) {}

result<void> platform_poller::WriteStopped(
    std::optional<incarnation> successor) {
  entry_row row = options_.self;
  row.stopped = true;
  row.successor = successor;
  counts_.Messages().platform.fetch_add(1);
  return WriteEntryRow(table_, options_.environment, row);
}

/// Logs a service that started to fail or has recovered; repeated results are
/// not logged.
void platform_poller::LogServiceState(const char* service, bool works) {
  const std::scoped_lock lock(mutex_);
  const bool changed = works ? failing_services_.erase(service) > 0
                             : failing_services_.insert(service).second;
  if (changed) {
    log_event(works ? log_level::kInfo : log_level::kWarning,
              works ? "platform_works" : "platform_fails")
        .With("service", service);
  }
}

void platform_poller::PostPeers() {
  for (const auto& [who, entry] : *Entries()) {
    if (who != options_.self.who && entry.live) {
      engine_.Post(learn_peer_event{.who = who,
                                    .data_centre = entry.row.data_centre_number,
                                    .address = entry.row.address});
    }
  }
}

void platform_poller::PollEntries() {
  const instant now = Now();
  if (now >= next_row_write_) {
    counts_.Messages().platform.fetch_add(1);
    const bool written =
        WriteEntryRow(table_, options_.environment, options_.self).has_value();
    LogServiceState("entry_row", written);
    next_row_write_ = written ? now + kEntryRowInterval : now;
  }
  counts_.Messages().platform.fetch_add(1);
  const auto before = entries_.load();
  auto read = ReadEntryRows(table_, options_.environment, *before, now);
  LogServiceState("entries", read.has_value());
  if (read) {
    entries_.store(
        std::make_shared<const entry_directory>(std::move(read).value()));
  } else {
    // A failed read must not make other entries look silent, so their time of
    // last change moves along.
    auto kept = std::make_shared<entry_directory>(*before);
    for (auto& [who, entry] : *kept) {
      entry.changed += now - last_poll_;
    }
    entries_.store(std::move(kept));
  }
  last_poll_ = now;
  PostPeers();
}

void platform_poller::PollInstances() {
  const auto config = engine_.Config();
  if (config == nullptr) {
    return;
  }
  for (const upstream_config& upstream : config->upstreams) {
    if (!upstream.name.empty()) {
      PollUpstream(upstream.name);
    }
  }
}

void platform_poller::PollUpstream(const std::string& upstream) {
  counts_.Messages().platform.fetch_add(1);
  const auto listed = instances_.List(upstream, options_.self.data_centre);
  LogServiceState("instances", listed.has_value());
  if (!listed) {
    return;
  }
  const std::vector<incarnation> entries = LiveEntriesOf(
      *Entries(), options_.self.data_centre_number, options_.self.who);
  instances_event event{.upstream = upstream};
  for (const listed_instance& instance : listed.value()) {
    event.instances.push_back(
        {.address = instance.address,
         .share = DivideSlots(entries, options_.self.who, instance.address,
                              instance.slots),
         .leaving = instance.leaving});
  }
  engine_.Post(std::move(event));
}

}  // namespace tarragondrift
