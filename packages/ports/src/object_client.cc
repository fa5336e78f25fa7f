// The object store by S3's path-style REST interface, without credentials.
#include "tarragondrift/ports/clients.h"
#include "tarragondrift/ports/http_client.h"

namespace tarragondrift {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusServiceUnavailable = 503;
constexpr int kStatusServerError = 500;

/// Escapes a name; '/' stays, as it parts the levels of a name.
std::string EscapeName(const std::string& name) {
  std::string path;
  size_t begin = 0;
  while (true) {
    const size_t end = name.find('/', begin);
    if (end == std::string::npos) {
      return path + EscapeUrl(name.substr(begin));
    }
    path += EscapeUrl(name.substr(begin, end - begin)) + '/';
    begin = end + 1;
  }
}

/// Tells whether the answer is S3's request to slow down, which has no effect.
bool AsksToSlowDown(const http_reply& reply) {
  return reply.status == kStatusTooManyRequests ||
         (reply.status == kStatusServiceUnavailable &&
          reply.body.find("<Code>SlowDown</Code>") != std::string::npos);
}

/// The client; see object_port for what its calls promise.
class object_client final : public object_port {
 public:
  explicit object_client(const object_client_options& options)
      : options_(options),
        http_({.connect_timeout = options.connect_timeout,
               .timeout = options.timeout,
               .most_reply_bytes = options.most_object_bytes}) {}

  result<std::string> Get(const std::string& name) override {
    http_reply reply =
        http_.Send({.method = http_method::kGet, .url = UrlOf(name)});
    if (reply.exchange != http_exchange::kAnswered) {
      return result_code::kStoreUnavailable;
    }
    if (reply.status == kStatusOk) {
      return std::move(reply.body);
    }
    if (reply.status == kStatusNotFound) {
      return result_code::kNotFound;
    }
    return AsksToSlowDown(reply) ? result_code::kStoreThrottled
                                 : result_code::kStoreUnavailable;
  }

  result<void> Put(const std::string& name,
                   const std::string& content) override {
    if (content.size() > options_.most_object_bytes) {
      return result_code::kRequestTooLarge;
    }
    const http_reply reply =
        http_.Send({.method = http_method::kPut,
                    .url = UrlOf(name),
                    .headers = {{"Content-Type", "application/octet-stream"}},
                    .body = content});
    if (reply.exchange == http_exchange::kNotSent) {
      return result_code::kStoreUnavailable;
    }
    if (reply.exchange != http_exchange::kAnswered) {
      return result_code::kStoreUnknown;
    }
    if (reply.status == kStatusOk) {
      return outcome::success();
    }
    if (AsksToSlowDown(reply)) {
      return result_code::kStoreThrottled;
    }
    return reply.status >= kStatusServerError ? result_code::kStoreUnknown
                                              : result_code::kStoreUnavailable;
  }

 private:
  std::string UrlOf(const std::string& name) const {
    return options_.base_url + '/' + EscapeUrl(options_.bucket) + '/' +
           EscapeName(name);
  }

  object_client_options options_;
  http_client http_;
};

}  // namespace

std::unique_ptr<object_port> MakeObjectClient(
    const object_client_options& options) {
  return std::make_unique<object_client>(options);
}

}  // namespace tarragondrift
