#include "tarragondrift/ports/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <cstring>
#include <mutex>
#include <utility>

#include "tarragondrift/ports/transfer_loop.h"

namespace tarragondrift {
namespace {

/// What the callbacks of one exchange work on.
struct exchange_state {
  const std::string* request_body = nullptr;
  size_t sent = 0;
  std::string reply_body;
  size_t most_reply_bytes = 0;
  bool too_large = false;
};

/// Hands libcurl the next part of the request body.
size_t ReadBody(char* buffer, size_t size, size_t count, void* context) {
  auto& state = *static_cast<exchange_state*>(context);
  const size_t left = state.request_body->size() - state.sent;
  const size_t taken = std::min(left, size * count);
  std::memcpy(buffer, state.request_body->data() + state.sent, taken);
  state.sent += taken;
  return taken;
}

/// Takes the next part of the reply body; refuses what is over the limit.
size_t WriteBody(char* data, size_t size, size_t count, void* context) {
  auto& state = *static_cast<exchange_state*>(context);
  const size_t bytes = size * count;
  if (state.reply_body.size() + bytes > state.most_reply_bytes) {
    state.too_large = true;
    return 0;
  }
  state.reply_body.append(data, bytes);
  return bytes;
}

/// Turns down a rewind of the request body. libcurl repeats a request whose
/// kept connection dies before the first byte of the answer; the first copy
/// may have taken effect, so a body must not leave twice.
int RefuseSeek(void* /*context*/, curl_off_t /*offset*/, int /*origin*/) {
  return CURL_SEEKFUNC_FAIL;
}

/// Initialises libcurl once in the process.
void InitialiseLibrary() {
  static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(initialised);
}

/// Makes the header list of a request.
slist_ptr MakeHeaders(const http_request& request) {
  slist_ptr list;
  // A body is sent at once, without asking the server first.
  AppendHeader(list, "Expect:");
  for (const http_header& header : request.headers) {
    AppendHeader(list, header.name + ": " + header.value);
  }
  return list;
}

/// Sets the method, and the body where the method has one.
void SetMethod(CURL* easy, const http_request& request) {
  const auto size = static_cast<curl_off_t>(request.body.size());
  switch (request.method) {
    case http_method::kGet:
      curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
      break;
    case http_method::kDelete:
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "DELETE");
      break;
    case http_method::kPost:
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, size);
      break;
    case http_method::kPut:
      curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
      curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE, size);
      break;
  }
}

/// Sets the callbacks that move the bodies.
void SetBodies(CURL* easy, exchange_state& state) {
  curl_easy_setopt(easy, CURLOPT_READFUNCTION, ReadBody);
  curl_easy_setopt(easy, CURLOPT_READDATA, &state);
  curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, RefuseSeek);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, WriteBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &state);
}

/// Sets the time limits of one exchange.
void SetLimits(CURL* easy, const http_client_options& options,
               std::chrono::milliseconds timeout) {
  const auto limit = timeout.count() > 0 ? timeout : options.timeout;
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(options.connect_timeout.count()));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(limit.count()));
}

/// Tells whether any byte of the request may have left.
bool MayHaveSent(CURL* easy, CURLcode code) {
  if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
      code == CURLE_URL_MALFORMAT) {
    return false;
  }
  long bytes = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &bytes);
  return bytes > 0;
}

/// Describes an exchange that brought no answer.
http_reply MakeFailure(CURL* easy, CURLcode code, const exchange_state& state) {
  http_reply reply;
  reply.error = curl_easy_strerror(code);
  if (state.too_large) {
    reply.exchange = http_exchange::kReplyTooLarge;
  } else if (MayHaveSent(easy, code)) {
    reply.exchange = http_exchange::kReplyLost;
  }
  return reply;
}

/// Describes an exchange that brought a whole answer.
http_reply MakeAnswer(CURL* easy, exchange_state& state) {
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  return {.exchange = http_exchange::kAnswered,
          .status = static_cast<int>(status),
          .body = std::move(state.reply_body),
          .error = {}};
}

}  // namespace

/// Handles that are not in use; each keeps its own connections.
struct http_client::pool {
  http_client_options options;
  std::mutex mutex;
  std::vector<easy_ptr> idle;

  /// Takes a handle out, the one used last first: its connection is freshest.
  easy_ptr Take() {
    const std::lock_guard lock(mutex);
    if (idle.empty()) {
      return easy_ptr(curl_easy_init());
    }
    easy_ptr handle = std::move(idle.back());
    idle.pop_back();
    return handle;
  }

  /// Puts a handle back, or closes it when enough are kept.
  void PutBack(easy_ptr handle) {
    const std::lock_guard lock(mutex);
    if (idle.size() < options.most_idle) {
      idle.push_back(std::move(handle));
    }
  }
};

http_client::http_client(const http_client_options& options)
    : pool_(std::make_unique<pool>()) {
  InitialiseLibrary();
  pool_->options = options;
}

http_client::~http_client() = default;

http_reply http_client::Send(const http_request& request) {
  easy_ptr handle = pool_->Take();
  CURL* const easy = handle.get();
  // A reset keeps the connections of the handle.
  curl_easy_reset(easy);
  exchange_state state{.request_body = &request.body,
                       .most_reply_bytes = pool_->options.most_reply_bytes};
  const slist_ptr headers = MakeHeaders(request);
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers.get());
  SetMethod(easy, request);
  SetBodies(easy, state);
  SetLimits(easy, pool_->options, request.timeout);
  const CURLcode code = curl_easy_perform(easy);
  http_reply reply = code == CURLE_OK ? MakeAnswer(easy, state)
                                      : MakeFailure(easy, code, state);
  pool_->PutBack(std::move(handle));
  return reply;
}

std::string EscapeUrl(const std::string& text) {
  InitialiseLibrary();
  char* const escaped =
      curl_easy_escape(nullptr, text.c_str(), static_cast<int>(text.size()));
  std::string copy = escaped == nullptr ? std::string{} : std::string(escaped);
  curl_free(escaped);
  return copy;
}

}  // namespace tarragondrift
