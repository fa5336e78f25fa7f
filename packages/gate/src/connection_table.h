// The open connections of a server, and which of them give way when
// connections or memory run out.
#ifndef TARRAGONDRIFT_GATE_CONNECTION_TABLE_H_
#define TARRAGONDRIFT_GATE_CONNECTION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

enum class connection_phase : uint8_t {
  /// It has sent no request yet, or not the whole of one.
  kUnfinished,
  /// Its request is being served. It never gives way.
  kServed,
  /// Its last request was answered.
  kIdle,
  /// It was shut down, and is about to be closed.
  kClosing,
};

struct open_connection {
  int socket = -1;
  connection_phase phase = connection_phase::kUnfinished;
  /// When it entered its phase, and the order in which connections did.
  instant since;
  uint64_t order = 0;
  /// Whether its request's headers are complete.
  bool has_request = false;
  /// The body of its request as far as it has arrived, until it is served.
  std::string body;
  /// Bytes that its request counts for until it is answered.
  size_t bytes = 0;
};

/// Connections by the library's handle. All functions are thread-safe.
struct connection_table {
  /// From this number on one gives way for each new connection.
  size_t max_connections = 0;
  /// Limit of the bytes of all requests that are not answered.
  size_t max_bytes = 0;

  std::mutex mutex;
  std::map<const void*, open_connection> open;
  uint64_t last_order = 0;
  size_t bytes = 0;
};

/// Adds a connection. If there are too many, one gives way: of those that are
/// unfinished the one that has been so for longest, else of the idle ones.
void AddConnection(connection_table& table, const void* handle, int socket,
                   instant now);

/// Removes a connection whose socket is about to be closed.
void RemoveConnection(connection_table& table, const void* handle);

/// Notes that the headers of a connection's next request are complete.
void BeginRequest(connection_table& table, const void* handle, instant now);

enum class body_outcome : uint8_t {
  kStored,
  /// All memory for requests is taken by requests that are being served. What
  /// had arrived of this one was dropped.
  kNoRoom,
  /// The connection gave way to others before.
  kClosing,
};

/// Stores a piece of a body. If there is no room for it, other unfinished
/// requests give way, those that have been unfinished for longest first.
body_outcome AppendBody(connection_table& table, const void* handle,
                        const char* piece, size_t size);

/// Drops what has arrived of a body.
void DropBody(connection_table& table, const void* handle);

/// Begins to serve a connection's request; returns its body. Its bytes count
/// until it is answered.
std::string BeginServing(connection_table& table, const void* handle,
                         instant now);

/// Notes that a connection's request was answered.
void EndServing(connection_table& table, const void* handle, instant now);

/// Shuts down the connections whose request is unfinished for too long.
/// @param request_limit time for a body after its headers.
/// @param silence_limit time for the headers of the first request.
void CloseOverdue(connection_table& table, std::chrono::seconds request_limit,
                  std::chrono::seconds silence_limit, instant now);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_CONNECTION_TABLE_H_
