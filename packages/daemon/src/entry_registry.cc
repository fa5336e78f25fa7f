#include "entry_registry.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "store_rows.h"

namespace tarragondrift {
namespace {

using nlohmann::json;

/// Longer chains of successors are taken for a cycle.
constexpr int kMaxSuccessorHops = 64;

std::string RowPrefix(const std::string& environment) {
  return "entry/" + environment + "/";
}

/// Parses a row; returns empty when it is malformed.
std::optional<entry_row> ParseRow(const std::string& text) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  try {
    const auto who = ParseIncarnation(value.at("incarnation"));
    if (!who.has_value()) {
      return std::nullopt;
    }
    entry_row row{.who = *who,
                  .data_centre = value.at("data_centre"),
                  .data_centre_number = value.at("data_centre_number"),
                  .address = value.at("address"),
                  .stopped = value.value("stopped", false)};
    if (value.contains("successor")) {
      row.successor = ParseIncarnation(value.at("successor"));
    }
    return row;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

result<void> WriteEntryRow(table_port& table, const std::string& environment,
                           const entry_row& row) {
  json value{{"incarnation", FormatIncarnation(row.who)},
             {"data_centre", row.data_centre},
             {"data_centre_number", row.data_centre_number},
             {"address", row.address},
             {"stopped", row.stopped}};
  if (row.successor.has_value()) {
    value["successor"] = FormatIncarnation(*row.successor);
  }
  return table.Write(
      {{.key = RowPrefix(environment) + FormatIncarnation(row.who),
        .value = value.dump()}});
}

result<entry_directory> ReadEntryRows(table_port& table,
                                      const std::string& environment,
                                      const entry_directory& previous,
                                      instant now) {
  const auto rows = table.List(RowPrefix(environment));
  if (!rows) {
    return rows.error();
  }
  entry_directory entries;
  for (const table_row& stored : rows.value()) {
    const auto row = ParseRow(stored.value);
    if (!row.has_value()) {
      continue;
    }
    known_entry entry{.row = *row, .version = stored.version, .changed = now};
    const auto known = previous.find(row->who);
    if (known != previous.end() && known->second.version == stored.version) {
      entry.changed = known->second.changed;
    }
    entry.live = !row->stopped && now - entry.changed < kEntryTimeout;
    entries.emplace(row->who, entry);
  }
  return entries;
}

std::optional<entry_row> FindOwner(const entry_directory& entries,
                                   incarnation who) {
  auto at = entries.find(who);
  for (int step = 0; step < kMaxSuccessorHops; ++step) {
    if (at == entries.end()) {
      return std::nullopt;
    }
    const entry_row& row = at->second.row;
    if (!row.stopped || !row.successor.has_value()) {
      return row;
    }
    at = entries.find(*row.successor);
  }
  return std::nullopt;
}

std::vector<incarnation> LiveEntriesOf(const entry_directory& entries,
                                       uint16_t data_centre_number,
                                       incarnation self) {
  std::vector<incarnation> live{self};
  for (const auto& [who, entry] : entries) {
    if (who != self && entry.live &&
        entry.row.data_centre_number == data_centre_number) {
      live.push_back(who);
    }
  }
  std::sort(live.begin(), live.end());
  return live;
}

uint32_t DivideSlots(const std::vector<incarnation>& entries, incarnation self,
                     const std::string& instance, uint32_t slots) {
  const auto at = std::find(entries.begin(), entries.end(), self);
  if (at == entries.end()) {
    return 0;
  }
  const size_t count = entries.size();
  const size_t offset = std::hash<std::string>()(instance);
  const size_t rank =
      (static_cast<size_t>(at - entries.begin()) + offset) % count;
  const auto even_share = static_cast<uint32_t>(slots / count);
  return even_share + (rank < slots % count ? 1 : 0);
}

}  // namespace tarragondrift
