#include "connection_table.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace tarragondrift {
namespace {

void EnterPhase(connection_table& table, open_connection& one,
                connection_phase phase, instant now) {
  one.phase = phase;
  one.since = now;
  one.order = ++table.last_order;
}

void ReleaseBytes(connection_table& table, open_connection& one) {
  table.bytes -= std::exchange(one.bytes, 0);
  // clear() would keep the memory.
  std::string().swap(one.body);
}

/// Shuts a connection down; the server's thread closes it.
void ShutDown(connection_table& table, open_connection& one) {
  one.phase = connection_phase::kClosing;
  ReleaseBytes(table, one);
  shutdown(one.socket, SHUT_RDWR);
}

/// Returns the connection that has been in a phase for longest.
/// @param spared is not returned.
open_connection* FindLongest(connection_table& table, connection_phase phase,
                             const open_connection* spared, bool with_bytes) {
  open_connection* longest = nullptr;
  for (auto& [handle, one] : table.open) {
    if (one.phase == phase && &one != spared &&
        (!with_bytes || one.bytes > 0) &&
        (longest == nullptr || one.order < longest->order)) {
      longest = &one;
    }
  }
  return longest;
}

}  // namespace

void AddConnection(connection_table& table, const void* handle, int socket,
                   instant now) {
  const std::scoped_lock lock(table.mutex);
  open_connection& added = table.open[handle];
  added.socket = socket;
  EnterPhase(table, added, connection_phase::kUnfinished, now);
  if (table.open.size() <= table.max_connections) {
    return;
  }
  const auto closing = static_cast<size_t>(std::count_if(
      table.open.begin(), table.open.end(), [](const auto& entry) {
        return entry.second.phase == connection_phase::kClosing;
      }));
  if (table.open.size() - closing <= table.max_connections) {
    return;
  }
  open_connection* given_up =
      FindLongest(table, connection_phase::kUnfinished, &added, false);
  if (given_up == nullptr) {
    given_up = FindLongest(table, connection_phase::kIdle, &added, false);
  }
  if (given_up != nullptr) {
    ShutDown(table, *given_up);
  }
}

void RemoveConnection(connection_table& table, const void* handle) {
  const std::scoped_lock lock(table.mutex);
  const auto at = table.open.find(handle);
  if (at != table.open.end()) {
    table.bytes -= at->second.bytes;
    table.open.erase(at);
  }
}

void BeginRequest(connection_table& table, const void* handle, instant now) {
  const std::scoped_lock lock(table.mutex);
  const auto at = table.open.find(handle);
  if (at != table.open.end() &&
      at->second.phase != connection_phase::kClosing) {
    EnterPhase(table, at->second, connection_phase::kUnfinished, now);
    at->second.has_request = true;
  }
}

body_outcome AppendBody(connection_table& table, const void* handle,
                        const char* piece, size_t size) {
  const std::scoped_lock lock(table.mutex);
  const auto at = table.open.find(handle);
  if (at == table.open.end() ||
      at->second.phase == connection_phase::kClosing) {
    return body_outcome::kClosing;
  }
  open_connection& one = at->second;
  while (table.bytes + size > table.max_bytes) {
    open_connection* const given_up =
        FindLongest(table, connection_phase::kUnfinished, &one, true);
    if (given_up == nullptr) {
      ReleaseBytes(table, one);
      return body_outcome::kNoRoom;
    }
    ShutDown(table, *given_up);
  }
  one.body.append(piece, size);
  one.bytes += size;
  table.bytes += size;
  return body_outcome::kStored;
}

void DropBody(connection_table& table, const void* handle) {
  const std::scoped_lock lock(table.mutex);
  const auto at = table.open.find(handle);
  if (at != table.open.end()) {
    ReleaseBytes(table, at->second);
  }
}

std::string BeginServing(connection_table& table, const void* handle,
                         instant now) {
  const std::scoped_lock lock(table.mutex);
  const auto at = table.open.find(handle);
  if (at == table.open.end()) {
    return {};
  }
  if (at->second.phase != connection_phase::kClosing) {
    EnterPhase(table, at->second, connection_phase::kServed, now);
  }
  return std::exchange(at->second.body, {});
}

void EndServing(connection_table& table, const void* handle, instant now) {
  const std::scoped_lock lock(table.mutex);
  const auto at = table.open.find(handle);
  if (at != table.open.end()) {
    ReleaseBytes(table, at->second);
    at->second.has_request = false;
    if (at->second.phase == connection_phase::kServed) {
      EnterPhase(table, at->second, connection_phase::kIdle, now);
    }
  }
}

void CloseOverdue(connection_table& table, std::chrono::seconds request_limit,
                  std::chrono::seconds silence_limit, instant now) {
  const std::scoped_lock lock(table.mutex);
  for (auto& [handle, one] : table.open) {
    const auto limit = one.has_request ? request_limit : silence_limit;
    if (one.phase == connection_phase::kUnfinished && now - one.since > limit) {
      ShutDown(table, one);
    }
  }
}

}  // namespace tarragondrift
