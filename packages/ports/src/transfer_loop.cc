#include "tarragondrift/ports/transfer_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace tarragondrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Events taken by one call of epoll_wait.
constexpr int kEventsPerWait = 128;
/// Idle handles kept for later transfers.
constexpr size_t kMostSpareHandles = 1'024;
/// Idle connections kept over all instances.
constexpr long kMostKeptConnections = 20'000;  // NOLINT: libcurl's type

/// Turns libcurl's wish into epoll's flags.
uint32_t ToEpollEvents(int what) {
  uint32_t events = 0;
  if ((what & CURL_POLL_IN) != 0) {
    events |= EPOLLIN;
  }
  if ((what & CURL_POLL_OUT) != 0) {
    events |= EPOLLOUT;
  }
  return events;
}

/// Turns epoll's flags into libcurl's.
int ToCurlEvents(uint32_t events) {
  int flags = 0;
  if ((events & EPOLLIN) != 0) {
    flags |= CURL_CSELECT_IN;
  }
  if ((events & EPOLLOUT) != 0) {
    flags |= CURL_CSELECT_OUT;
  }
  if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
    flags |= CURL_CSELECT_ERR;
  }
  return flags;
}

}  // namespace

void AppendHeader(slist_ptr& list, const std::string& line) {
  curl_slist* const longer = curl_slist_append(list.get(), line.c_str());
  if (longer != nullptr) {
    list.release();  // NOLINT: the list's head stays, or was null
    list.reset(longer);
  }
}

void SetTransferOptions(CURL* easy, const transfer_options& options) {
  const auto count = [](milliseconds time) {
    return static_cast<long>(time.count());  // NOLINT: libcurl's type
  };
  curl_easy_setopt(easy, CURLOPT_URL, options.url);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, options.headers);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   count(options.connect_timeout));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, count(options.timeout));
}

transfer_loop::transfer_loop(const transfer_loop_options& options)
    : multi_(curl_multi_init()),
      epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wake_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event event{.events = EPOLLIN, .data = {.fd = wake_}};
  epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &event);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &OnTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMostKeptConnections);
  curl_multi_setopt(
      multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
      static_cast<long>(options.connections_per_address));  // NOLINT: its type
  thread_ = std::thread([this] { Loop(); });
}

transfer_loop::~transfer_loop() {
  stopping_.store(true);
  eventfd_write(wake_, 1);
  thread_.join();
  for (auto& [easy, work] : running_) {
    curl_multi_remove_handle(multi_, easy);
  }
  running_.clear();
  spare_.clear();
  curl_multi_cleanup(multi_);
  close(wake_);
  close(epoll_);
}

void transfer_loop::Run(std::unique_ptr<transfer> work) {
  bool first = false;
  {
    const std::scoped_lock lock(mutex_);
    first = waiting_.empty();
    waiting_.push_back(std::move(work));
  }
  if (first) {
    eventfd_write(wake_, 1);
  }
}

int transfer_loop::OnSocket(CURL* /*easy*/, curl_socket_t socket, int what,
                            void* self, void* known) {
  auto* const loop = static_cast<transfer_loop*>(self);
  if (what == CURL_POLL_REMOVE) {
    epoll_ctl(loop->epoll_, EPOLL_CTL_DEL, socket, nullptr);
    return 0;
  }
  epoll_event event{.events = ToEpollEvents(what), .data = {.fd = socket}};
  if (known == nullptr) {
    curl_multi_assign(loop->multi_, socket, loop);
  }
  epoll_ctl(loop->epoll_, known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
            socket, &event);
  return 0;
}

int transfer_loop::OnTimer(CURLM* /*multi*/,
                           long timeout_ms,  // NOLINT: libcurl's type
                           void* self) {
  auto* const loop = static_cast<transfer_loop*>(self);
  loop->timer_set_ = timeout_ms >= 0;
  loop->timer_ = steady_clock::now() + milliseconds(timeout_ms);
  return 0;
}

int transfer_loop::WaitMilliseconds() const {
  if (!timer_set_) {
    return -1;
  }
  const auto left =
      std::chrono::ceil<milliseconds>(timer_ - steady_clock::now());
  return static_cast<int>(std::max(left, milliseconds{0}).count());
}

void transfer_loop::Loop() {
  std::array<epoll_event, kEventsPerWait> events{};
  while (!stopping_.load()) {
    const int count =
        epoll_wait(epoll_, events.data(), kEventsPerWait, WaitMilliseconds());
    for (int at = 0; at < count; ++at) {
      HandleSocket(events[at].data.fd, events[at].events);
    }
    if (timer_set_ && steady_clock::now() >= timer_) {
      timer_set_ = false;
      int active = 0;
      curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &active);
    }
    Reap();
  }
}

void transfer_loop::HandleSocket(int fd, uint32_t events) {
  if (fd == wake_) {
    eventfd_t ignored = 0;
    eventfd_read(wake_, &ignored);
    TakeNewWork();
    return;
  }
  int active = 0;
  curl_multi_socket_action(multi_, fd, ToCurlEvents(events), &active);
}

void transfer_loop::TakeNewWork() {
  std::vector<std::unique_ptr<transfer>> work;
  {
    const std::scoped_lock lock(mutex_);
    work.swap(waiting_);
  }
  for (std::unique_ptr<transfer>& one : work) {
    Begin(std::move(one));
  }
}

easy_ptr transfer_loop::TakeHandle() {
  if (spare_.empty()) {
    return easy_ptr(curl_easy_init());
  }
  easy_ptr easy = std::move(spare_.back());
  spare_.pop_back();
  curl_easy_reset(easy.get());
  return easy;
}

void transfer_loop::Begin(std::unique_ptr<transfer> work) {
  easy_ptr easy = TakeHandle();
  CURL* const handle = easy.get();
  work->Prepare(handle);
  running_.emplace(handle,
                   running{.easy = std::move(easy), .work = std::move(work)});
  curl_multi_add_handle(multi_, handle);
}

void transfer_loop::Reap() {
  int left = 0;
  while (const CURLMsg* const message = curl_multi_info_read(multi_, &left)) {
    if (message->msg == CURLMSG_DONE) {
      Finish(message->easy_handle, message->data.result);
    }
  }
}

void transfer_loop::Finish(CURL* easy, CURLcode code) {
  long connects = 0;  // NOLINT: libcurl's type
  curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
  connections_.fetch_add(connects, std::memory_order_relaxed);
  curl_multi_remove_handle(multi_, easy);
  const auto at = running_.find(easy);
  running ended = std::move(at->second);
  running_.erase(at);
  ended.work->Ended(easy, code);
  if (spare_.size() < kMostSpareHandles) {
    spare_.push_back(std::move(ended.easy));
  }
}

}  // namespace tarragondrift
