#include "tarragondrift/gate/http_server.h"

#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <utility>

#include "connection_table.h"
#include "mhd_request.h"
#include "tarragondrift/gate/address.h"
#include "tarragondrift/gate/callers_api.h"

namespace tarragondrift {
namespace {

/// Memory of a connection for headers and the piece of a body that is read.
constexpr size_t kConnectionMemory = size_t{16} << 10U;
constexpr std::chrono::milliseconds kRetryAfter{1'000};

/// Returns a view of a C string, empty for a null pointer.
std::string_view View(const char* text) {
  return text == nullptr ? std::string_view{} : std::string_view{text};
}

/// A request in progress in libmicrohttpd.
struct exchange {
  std::string method;
  std::string path;
  incoming_body body;
  bool answered = false;
};

class mhd_server : public http_server {
 public:
  mhd_server(const http_server_options& options, server_handler handler)
      : options_(options), handler_(std::move(handler)) {
    // Some more are accepted, so that new callers do not wait until those that
    // give way are closed.
    constexpr uint32_t kReserveShare = 4;
    connections_.max_connections =
        std::max(1U, options_.most_connections -
                         options_.most_connections / kReserveShare);
    connections_.max_bytes = options_.max_request_bytes;
  }
  mhd_server(const mhd_server&) = delete;
  mhd_server& operator=(const mhd_server&) = delete;

  ~mhd_server() override {
    if (daemon_ != nullptr) {
      MHD_stop_daemon(daemon_);
    }
  }

  /// Binds the address and starts the threads.
  result<void> Listen() {
    const result<sockaddr_in> address = ParseAddress(options_.address);
    if (!address) {
      return address.error();
    }
    address_ = address.value();
    constexpr unsigned int kListenBacklog = 1'024;
    constexpr unsigned int kFlags = MHD_USE_THREAD_PER_CONNECTION |
                                    MHD_USE_INTERNAL_POLLING_THREAD |
                                    MHD_USE_POLL | MHD_USE_ITC;
    daemon_ = MHD_start_daemon(
        kFlags, ntohs(address_.sin_port), nullptr, nullptr, &OnAccess, this,
        MHD_OPTION_SOCK_ADDR, &address_, MHD_OPTION_NOTIFY_COMPLETED,
        &OnCompleted, this, MHD_OPTION_NOTIFY_CONNECTION, &OnConnection, this,
        MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned int>(options_.most_connections),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemory,
        MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned int>(options_.idle_timeout.count()),
        MHD_OPTION_LISTEN_BACKLOG_SIZE, kListenBacklog,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (daemon_ == nullptr) {
      return result_code::kInternal;
    }
    return outcome::success();
  }

  void StopAccepting() override {
    const MHD_socket listener = MHD_quiesce_daemon(daemon_);
    if (listener != MHD_INVALID_SOCKET) {
      close(listener);
    }
  }

  size_t ActiveRequests() const override { return active_.load(); }

 private:
  static MHD_Result OnAccess(void* self, MHD_Connection* connection,
                             const char* url, const char* method,
                             const char* /*version*/, const char* upload,
                             size_t* upload_size, void** context) {
    return static_cast<mhd_server*>(self)->Access(
        connection, url, method, upload, *upload_size, *context);
  }

  /// Called when the response is fully sent or its connection is lost.
  static void OnCompleted(void* self, MHD_Connection* connection,
                          void** context, MHD_RequestTerminationCode /*how*/) {
    if (*context == nullptr) {
      return;
    }
    auto* const server = static_cast<mhd_server*>(self);
    EndServing(server->connections_, connection, server->options_.now());
    delete static_cast<exchange*>(*context);
    *context = nullptr;
    server->active_.fetch_sub(1);
  }

  static void OnConnection(void* self, MHD_Connection* connection,
                           void** /*context*/,
                           MHD_ConnectionNotificationCode how) {
    auto* const server = static_cast<mhd_server*>(self);
    connection_table& table = server->connections_;
    if (how != MHD_CONNECTION_NOTIFY_STARTED) {
      RemoveConnection(table, connection);
      return;
    }
    const instant now = server->options_.now();
    CloseOverdue(table, server->options_.request_timeout,
                 server->options_.idle_timeout, now);
    AddConnection(table, connection, SocketOf(connection), now);
  }

  MHD_Result Access(MHD_Connection* connection, const char* url,
                    const char* method, const char* upload, size_t& upload_size,
                    void*& context) {
    if (context == nullptr) {
      auto begun = std::make_unique<exchange>(
          exchange{.method = method,
                   .path = url,
                   .body = {.limit = options_.max_body_bytes}});
      exchange& one = *begun;
      context = begun.release();
      active_.fetch_add(1);
      BeginRequest(connections_, connection, options_.now());
      if (IsAnnouncedTooLarge(connection, one.body)) {
        // It is answered at once, and its body is not read.
        one.body.too_large = true;
        return Answer(connection, one);
      }
      return MHD_YES;
    }
    exchange& one = *static_cast<exchange*>(context);
    if (upload_size > 0) {
      const bool goes_on =
          TakePiece(connections_, connection, one.body, upload, upload_size);
      upload_size = 0;
      return goes_on ? MHD_YES : MHD_NO;
    }
    return one.answered ? MHD_YES : Answer(connection, one);
  }

  MHD_Result Answer(MHD_Connection* connection, exchange& one) {
    one.answered = true;
    const std::string body =
        BeginServing(connections_, connection, options_.now());
    return QueueResponse(connection, MakeAnswer(connection, one, body), false);
  }

  server_response MakeAnswer(MHD_Connection* connection, const exchange& one,
                             const std::string& body) {
    if (one.body.too_large) {
      return ErrorResponse({result_code::kRequestTooLarge, "body too large"});
    }
    if (one.body.no_room) {
      server_response refusal =
          ErrorResponse({result_code::kNotRunOverloaded, ""});
      refusal.retry_after = kRetryAfter;
      return refusal;
    }
    const auto header = [connection](MHD_ValueKind kind, const char* name) {
      return View(MHD_lookup_connection_value(connection, kind, name));
    };
    try {
      return handler_(
          {.method = one.method,
           .path = one.path,
           .body = body,
           .authorization = header(MHD_HEADER_KIND, "Authorization"),
           .query = [&header](const char* name) {
             return header(MHD_GET_ARGUMENT_KIND, name);
           }});
    } catch (const std::exception&) {
      // An unexpected exception fails this request, not the whole entry.
      return {.status = 500, .body = R"({"code": 900, "name": "internal"})"};
    }
  }

  http_server_options options_;
  server_handler handler_;
  connection_table connections_;
  sockaddr_in address_{};
  MHD_Daemon* daemon_ = nullptr;
  std::atomic<size_t> active_{0};
};

}  // namespace

result<std::unique_ptr<http_server>> http_server::Start(
    const http_server_options& options, server_handler handler) {
  auto server = std::make_unique<mhd_server>(options, std::move(handler));
  const result<void> listening = server->Listen();
  if (!listening) {
    return listening.error();
  }
  return std::unique_ptr<http_server>(std::move(server));
}

}  // namespace tarragondrift
