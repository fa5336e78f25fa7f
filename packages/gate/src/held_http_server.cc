#include "tarragondrift/gate/held_http_server.h"

#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "connection_table.h"
#include "mhd_request.h"
#include "tarragondrift/gate/address.h"

namespace tarragondrift {
namespace {

/// A request in progress in libmicrohttpd and its response.
struct exchange {
  MHD_Connection* connection = nullptr;
  held_request request;
  bool dispatched = false;
  std::optional<server_response> response;
  incoming_body body;
};

/// Memory of a connection for headers and the piece of a body that is read.
/// Callers' headers have less than a kilobyte.
constexpr size_t kConnectionMemory = size_t{16} << 10U;

std::string HostWithoutPort(const char* host) {
  std::string text = host == nullptr ? "" : host;
  const size_t colon = text.find(':');
  if (colon != std::string::npos) {
    text.resize(colon);
  }
  return text;
}

class mhd_held_server : public held_http_server {
 public:
  mhd_held_server(held_http_options options, held_handler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {
    // Some more are accepted, so that new callers do not wait until those that
    // give way are closed.
    constexpr uint32_t kReserveShare = 8;
    connections_.max_connections =
        std::max(1U, options_.most_connections -
                         options_.most_connections / kReserveShare);
    connections_.max_bytes = options_.max_request_bytes;
  }
  mhd_held_server(const mhd_held_server&) = delete;
  mhd_held_server& operator=(const mhd_held_server&) = delete;

  ~mhd_held_server() override {
    if (daemon_ == nullptr) {
      return;
    }
    ResumeAll();
    MHD_stop_daemon(daemon_);
  }

  result<void> Listen() {
    const result<sockaddr_in> address = ParseAddress(options_.address);
    if (!address) {
      return address.error();
    }
    address_ = address.value();
    constexpr unsigned int kListenBacklog = 1'024;
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        ntohs(address_.sin_port), nullptr, nullptr, &OnAccess, this,
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

  void Respond(uint64_t number, server_response response) override {
    const std::scoped_lock lock(mutex_);
    const auto at = held_.find(number);
    if (at == held_.end()) {
      return;
    }
    exchange* const one = at->second;
    held_.erase(at);
    one->response = std::move(response);
    MHD_resume_connection(one->connection);
  }

  std::vector<uint64_t> TakeLeft() override {
    const std::scoped_lock lock(mutex_);
    std::vector<pollfd> sockets;
    std::vector<uint64_t> numbers;
    for (const auto& [number, one] : held_) {
      sockets.push_back(PollDescriptor(*one));
      numbers.push_back(number);
    }
    std::vector<uint64_t> left;
    if (sockets.empty() || poll(sockets.data(), sockets.size(), 0) <= 0) {
      return left;
    }
    for (size_t at = 0; at < sockets.size(); ++at) {
      if (IsClosed(sockets[at])) {
        left.push_back(numbers[at]);
      }
    }
    return left;
  }

  void CloseOverdue() override {
    tarragondrift::CloseOverdue(connections_, options_.request_timeout,
                                options_.idle_timeout, options_.now());
  }

  bool HasLeft(uint64_t number) const override {
    const std::scoped_lock lock(mutex_);
    const auto at = held_.find(number);
    if (at == held_.end()) {
      return true;
    }
    pollfd socket = PollDescriptor(*at->second);
    return poll(&socket, 1, 0) > 0 && IsClosed(socket);
  }

  void CloseAfterAnswers() override { closing_.store(true); }

  void StopAccepting() override {
    const MHD_socket listener = MHD_quiesce_daemon(daemon_);
    if (listener != MHD_INVALID_SOCKET) {
      close(listener);
    }
  }

  size_t Held() const override {
    const std::scoped_lock lock(mutex_);
    return held_.size();
  }

  size_t Unsent() const override { return unsent_.load(); }

 private:
  /// Returns the poll descriptor of a request's connection; fd is -1, which
  /// poll ignores, if the connection has no socket.
  static pollfd PollDescriptor(const exchange& one) {
    return {.fd = SocketOf(one.connection), .events = POLLRDHUP};
  }

  static bool IsClosed(const pollfd& socket) {
    return (socket.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  static MHD_Result OnAccess(void* self, MHD_Connection* connection,
                             const char* url, const char* method,
                             const char* /*version*/, const char* upload,
                             size_t* upload_size, void** context) {
    return static_cast<mhd_held_server*>(self)->Access(
        connection, url, method, upload, *upload_size, *context);
  }

  static void OnCompleted(void* self, MHD_Connection* /*connection*/,
                          void** context, MHD_RequestTerminationCode /*how*/) {
    static_cast<mhd_held_server*>(self)->Complete(*context);
    *context = nullptr;
  }

  static void OnConnection(void* self, MHD_Connection* connection,
                           void** context, MHD_ConnectionNotificationCode how) {
    auto* const server = static_cast<mhd_held_server*>(self);
    if (how == MHD_CONNECTION_NOTIFY_STARTED) {
      const instant now = server->options_.now();
      *context = new instant(now);
      AddConnection(server->connections_, connection, SocketOf(connection),
                    now);
    } else {
      RemoveConnection(server->connections_, connection);
      delete static_cast<instant*>(*context);
      *context = nullptr;
    }
  }

  /// Returns when a connection was opened.
  static instant ConnectedAt(MHD_Connection* connection) {
    const MHD_ConnectionInfo* const info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr || info->socket_context == nullptr
               ? instant{}
               : *static_cast<const instant*>(info->socket_context);
  }

  MHD_Result Access(MHD_Connection* connection, const char* url,
                    const char* method, const char* upload, size_t& upload_size,
                    void*& context) {
    if (context == nullptr) {
      exchange* const begun = Begin(connection, url, method);
      context = begun;
      if (IsAnnouncedTooLarge(connection, begun->body)) {
        // It is answered at once, and its body is not read.
        begun->body.too_large = true;
        Dispatch(*begun);
      }
      return MHD_YES;
    }
    auto* const one = static_cast<exchange*>(context);
    if (upload_size > 0) {
      const bool goes_on =
          TakePiece(connections_, connection, one->body, upload, upload_size);
      upload_size = 0;
      return goes_on ? MHD_YES : MHD_NO;
    }
    if (!one->dispatched) {
      Dispatch(*one);
      return MHD_YES;
    }
    return Send(*one);
  }

  exchange* Begin(MHD_Connection* connection, const char* url,
                  const char* method) {
    auto made = std::make_unique<exchange>();
    made->connection = connection;
    made->request.connected = ConnectedAt(connection);
    made->request.begun = options_.now();
    made->request.method = method;
    made->request.path = url;
    made->request.host = HostWithoutPort(
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Host"));
    const char* const extra = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, options_.extra_header.c_str());
    made->request.extra = extra == nullptr ? "" : extra;
    made->body.limit = options_.max_body_bytes;
    if (options_.body_limit) {
      made->body.limit = std::min(made->body.limit, options_.body_limit());
    }
    BeginRequest(connections_, connection, made->request.begun);
    unsent_.fetch_add(1);
    return made.release();
  }

  /// Suspends the connection and passes the request to the handler.
  void Dispatch(exchange& one) {
    held_request request;
    {
      const std::scoped_lock lock(mutex_);
      one.dispatched = true;
      one.request.number = ++last_number_;
      request = std::move(one.request);
      request.too_large = one.body.too_large;
      request.no_room = one.body.no_room;
      request.received = options_.now();
      request.body =
          BeginServing(connections_, one.connection, request.received);
      one.request.number = request.number;
      held_[request.number] = &one;
      MHD_suspend_connection(one.connection);
    }
    handler_(std::move(request));
  }

  /// Queues the response of a resumed connection.
  MHD_Result Send(exchange& one) {
    if (!one.response) {
      return MHD_NO;
    }
    return QueueResponse(one.connection, *one.response, closing_.load());
  }

  void Complete(void* context) {
    if (context == nullptr) {
      return;
    }
    auto* const one = static_cast<exchange*>(context);
    {
      const std::scoped_lock lock(mutex_);
      held_.erase(one->request.number);
    }
    EndServing(connections_, one->connection, options_.now());
    delete one;
    unsent_.fetch_sub(1);
  }

  /// Resumes all suspended connections, which libmicrohttpd requires before it
  /// can be stopped.
  void ResumeAll() {
    const std::scoped_lock lock(mutex_);
    for (const auto& [number, one] : held_) {
      MHD_resume_connection(one->connection);
    }
    held_.clear();
  }

  held_http_options options_;
  held_handler handler_;
  sockaddr_in address_{};
  MHD_Daemon* daemon_ = nullptr;
  connection_table connections_;
  mutable std::mutex mutex_;
  uint64_t last_number_ = 0;
  std::map<uint64_t, exchange*> held_;
  std::atomic<size_t> unsent_{0};
  std::atomic<bool> closing_{false};
};

}  // namespace

result<std::unique_ptr<held_http_server>> held_http_server::Start(
    const held_http_options& options, held_handler handler) {
  auto server = std::make_unique<mhd_held_server>(options, std::move(handler));
  const result<void> listening = server->Listen();
  if (!listening) {
    return listening.error();
  }
  return std::unique_ptr<held_http_server>(std::move(server));
}

}  // namespace tarragondrift
