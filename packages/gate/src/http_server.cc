#include "tarragondrift/gate/http_server.h"

// ulfius.h uses types that <sys/socket.h> declares.
#include <ulfius.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <exception>
#include <utility>

#include "connection_table.h"
#include "tarragondrift/gate/address.h"

namespace tarragondrift {
namespace {

/// Returns a view of a C string, empty for a null pointer.
std::string_view View(const char* text) {
  return text == nullptr ? std::string_view{} : std::string_view{text};
}

class ulfius_server : public http_server {
 public:
  ulfius_server(const http_server_options& options, server_handler handler)
      : options_(options), handler_(std::move(handler)) {
    // Some more are accepted, so that new callers do not wait until those that
    // give way are closed.
    constexpr uint32_t kReserveShare = 4;
    connections_.max_connections =
        std::max(1U, options_.most_connections -
                         options_.most_connections / kReserveShare);
  }
  ulfius_server(const ulfius_server&) = delete;
  ulfius_server& operator=(const ulfius_server&) = delete;

  ~ulfius_server() override {
    if (initialised_) {
      ulfius_stop_framework(&instance_);
      ulfius_clean_instance(&instance_);
    }
  }

  /// Binds the address and starts the threads.
  result<void> Listen() {
    const result<sockaddr_in> address = ParseAddress(options_.address);
    if (!address) {
      return address.error();
    }
    address_ = address.value();
    if (ulfius_init_instance(&instance_, ntohs(address_.sin_port), &address_,
                             nullptr) != U_OK) {
      return result_code::kInternal;
    }
    initialised_ = true;
    // Reads one byte above the limit, so that the handlers, such as
    // ServeCaller, can detect and reject bodies that exceed it.
    instance_.max_post_body_size = options_.max_body_bytes + 1;
    instance_.allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_add_endpoint_by_val(&instance_, "*", nullptr, "*", 0, &Serve, this);
    return StartDaemon();
  }

  void StopAccepting() override {
    const int listener = MHD_quiesce_daemon(instance_.mhd_daemon);
    if (listener != MHD_INVALID_SOCKET) {
      close(listener);
    }
  }

  size_t ActiveRequests() const override { return active_.load(); }

 private:
  /// Starts libmicrohttpd through ulfius with a connection limit, which
  /// ulfius_start_framework does not support.
  result<void> StartDaemon() {
    constexpr unsigned int kListenBacklog = 1'024;
    constexpr unsigned int kFlags = MHD_USE_THREAD_PER_CONNECTION |
                                    MHD_USE_INTERNAL_POLLING_THREAD |
                                    MHD_USE_POLL | MHD_USE_ITC;
    std::array<MHD_OptionItem, 9> items{{
        {MHD_OPTION_NOTIFY_CONNECTION,
         reinterpret_cast<intptr_t>(&OnConnection),  // NOLINT: C API
         this},
        {MHD_OPTION_NOTIFY_COMPLETED,
         reinterpret_cast<intptr_t>(&OnCompleted),  // NOLINT: C API
         this},
        {MHD_OPTION_URI_LOG_CALLBACK,
         reinterpret_cast<intptr_t>(&OnBegin),  // NOLINT: C API
         this},
        {MHD_OPTION_SOCK_ADDR, 0, &address_},
        {MHD_OPTION_CONNECTION_LIMIT,
         static_cast<intptr_t>(options_.most_connections), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT,
         static_cast<intptr_t>(options_.idle_timeout.count()), nullptr},
        {MHD_OPTION_LISTEN_BACKLOG_SIZE, kListenBacklog, nullptr},
        {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
        {MHD_OPTION_END, 0, nullptr},
    }};
    if (ulfius_start_framework_with_mhd_options(&instance_, kFlags,
                                                items.data()) != U_OK) {
      return result_code::kInternal;
    }
    return outcome::success();
  }

  static void OnConnection(void* self, MHD_Connection* connection,
                           void** /*context*/,
                           MHD_ConnectionNotificationCode how) {
    auto* const server = static_cast<ulfius_server*>(self);
    if (how == MHD_CONNECTION_NOTIFY_STARTED) {
      const MHD_ConnectionInfo* const info = MHD_get_connection_info(
          connection, MHD_CONNECTION_INFO_CONNECTION_FD);
      AddConnection(server->connections_, connection,
                    info == nullptr ? -1 : info->connect_fd, {});
    } else {
      RemoveConnection(server->connections_, connection);
    }
  }

  /// Called when the request line has been read.
  static void* OnBegin(void* self, const char* uri,
                       MHD_Connection* connection) {
    auto* const server = static_cast<ulfius_server*>(self);
    server->active_.fetch_add(1);
    BeginRequest(server->connections_, connection, {});
    served_connection = connection;
    return ulfius_uri_logger(nullptr, uri);
  }

  /// Called when the response is fully sent or its connection is lost.
  static void OnCompleted(void* self, MHD_Connection* connection,
                          void** request, MHD_RequestTerminationCode how) {
    mhd_request_completed(nullptr, connection, request, how);
    auto* const server = static_cast<ulfius_server*>(self);
    EndServing(server->connections_, connection, {});
    server->active_.fetch_sub(1);
  }

  static int Serve(const _u_request* request, _u_response* response,
                   void* self) {
    static_cast<ulfius_server*>(self)->Answer(*request, *response);
    return U_CALLBACK_COMPLETE;
  }

  void Answer(const _u_request& request, _u_response& response) {
    BeginServing(connections_, served_connection, {});
    server_response answer;
    try {
      answer = handler_(ToRequest(request));
    } catch (const std::exception&) {
      // An unexpected exception fails this request, not the whole entry.
      answer = {.status = 500, .body = R"({"code": 900, "name": "internal"})"};
    }
    ulfius_set_binary_body_response(&response, answer.status,
                                    answer.body.data(), answer.body.size());
    u_map_put(response.map_header, "Content-Type", answer.content_type.c_str());
    if (answer.retry_after.count() > 0) {
      const auto seconds =
          std::chrono::ceil<std::chrono::seconds>(answer.retry_after);
      u_map_put(response.map_header, "Retry-After",
                std::to_string(seconds.count()).c_str());
    }
  }

  static server_request ToRequest(const _u_request& request) {
    return {.method = View(request.http_verb),
            .path = View(request.url_path),
            .body = {static_cast<const char*>(request.binary_body),
                     request.binary_body_length},
            .authorization =
                View(u_map_get_case(request.map_header, "Authorization")),
            .query = [&request](const char* name) {
              return View(u_map_get(request.map_url, name));
            }};
  }

  /// The connection whose request the calling thread reads or serves; each
  /// connection has a thread of its own.
  static thread_local const MHD_Connection* served_connection;

  http_server_options options_;
  server_handler handler_;
  connection_table connections_;
  sockaddr_in address_{};
  _u_instance instance_{};
  bool initialised_ = false;
  std::atomic<size_t> active_{0};
};

thread_local const MHD_Connection* ulfius_server::served_connection = nullptr;

}  // namespace

result<std::unique_ptr<http_server>> http_server::Start(
    const http_server_options& options, server_handler handler) {
  auto server = std::make_unique<ulfius_server>(options, std::move(handler));
  const result<void> listening = server->Listen();
  if (!listening) {
    return listening.error();
  }
  return std::unique_ptr<http_server>(std::move(server));
}

}  // namespace tarragondrift
