#include "tarragondrift/ports/async_http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <string>
#include <utility>

#include "tarragondrift/ports/transfer_loop.h"

namespace tarragondrift {
namespace {

/// Sets limits on a fresh socket, so that a silent peer is noticed.
int OnSocketMade(void* context, curl_socket_t socket, curlsocktype /*use*/) {
  const auto& options = *static_cast<const async_http_options*>(context);
  const auto limit =
      static_cast<unsigned int>(options.unacknowledged_limit.count());
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
  return CURL_SOCKOPT_OK;
}

class http_transfer : public transfer {
 public:
  http_transfer(http_request request, http_callback done,
                const async_http_options& options)
      : request_(std::move(request)),
        done_(std::move(done)),
        options_(options) {}

  void Prepare(CURL* easy) override {
    AppendHeader(headers_, "Expect:");
    for (const http_header& header : request_.headers) {
      AppendHeader(headers_, header.name + ": " + header.value);
    }
    SetTransferOptions(easy, {.url = request_.url.c_str(),
                              .headers = headers_.get(),
                              .connect_timeout = options_.connect_timeout,
                              .timeout = request_.timeout});
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnSocketMade);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &options_);
    SetMethod(easy);
  }

  void Ended(CURL* easy, CURLcode code) override {
    http_reply reply;
    if (code == CURLE_OK) {
      long status = 0;  // NOLINT: libcurl's type
      curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
      reply.exchange = http_exchange::kAnswered;
      reply.status = static_cast<int>(status);
      reply.body = std::move(body_);
    } else {
      reply.exchange = !sent_       ? http_exchange::kNotSent
                       : too_large_ ? http_exchange::kReplyTooLarge
                                    : http_exchange::kReplyLost;
      reply.error = curl_easy_strerror(code);
      long os_error = 0;  // NOLINT: libcurl's type
      curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &os_error);
      reply.refused = !sent_ && os_error == ECONNREFUSED;
    }
    done_(std::move(reply));
  }

 private:
  void SetMethod(CURL* easy) {
    if (request_.method == http_method::kGet) {
      curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
      return;
    }
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request_.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request_.body.size()));
    if (request_.method != http_method::kPost) {
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST,
                       request_.method == http_method::kPut ? "PUT" : "DELETE");
    }
  }

  /// Runs before the first byte of the request goes to a connection. libcurl
  /// repeats a request whose kept connection dies without an answer; that is
  /// stopped for bodies, since the first copy may have taken effect.
  static int OnBeforeRequest(void* context, char* /*remote*/, char* /*local*/,
                             int /*remote_port*/, int /*local_port*/) {
    auto* const self = static_cast<http_transfer*>(context);
    if (self->sent_ && self->request_.method != http_method::kGet) {
      return CURL_PREREQFUNC_ABORT;
    }
    self->sent_ = true;
    return CURL_PREREQFUNC_OK;
  }

  static size_t OnBody(char* bytes, size_t size, size_t count, void* context) {
    auto* const self = static_cast<http_transfer*>(context);
    const size_t length = size * count;
    if (self->body_.size() + length > self->options_.most_reply_bytes) {
      self->too_large_ = true;
      return 0;
    }
    self->body_.append(bytes, length);
    return length;
  }

  http_request request_;
  http_callback done_;
  const async_http_options& options_;
  slist_ptr headers_;
  std::string body_;
  bool sent_ = false;
  bool too_large_ = false;
};

class curl_async_client : public async_http_client {
 public:
  explicit curl_async_client(const async_http_options& options)
      : options_(options),
        loop_({.connections_per_address = options.connections_per_address}) {}

  void Send(http_request request, http_callback done) override {
    loop_.Run(std::make_unique<http_transfer>(std::move(request),
                                              std::move(done), options_));
  }

  uint64_t Connections() const override { return loop_.Connections(); }

 private:
  async_http_options options_;
  transfer_loop loop_;
};

class blocking_client : public async_http_client {
 public:
  explicit blocking_client(const http_client_options& options)
      : client_(options) {}

  void Send(http_request request, http_callback done) override {
    done(client_.Send(request));
  }

  uint64_t Connections() const override { return 0; }

 private:
  http_client client_;
};

}  // namespace

std::unique_ptr<async_http_client> MakeBlockingClient(
    const http_client_options& options) {
  return std::make_unique<blocking_client>(options);
}

std::unique_ptr<async_http_client> async_http_client::Start(
    const async_http_options& options) {
  return std::make_unique<curl_async_client>(options);
}

}  // namespace tarragondrift
